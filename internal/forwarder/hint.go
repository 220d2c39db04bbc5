package forwarder

import (
	"math/rand/v2"
	"net/http"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// maxWaitDivisor divides the remaining time of a caller into the longest Retry-After hint.
	maxWaitDivisor = 3
	// shortWaitDivisor divides the target into the age below which a request is new and the wait below which it is
	// short.
	shortWaitDivisor = 4
	// waitJitterDivisor divides a long wait into its jitter, so that callers refused together do not retry together.
	waitJitterDivisor = 4
)

// withRetryAfter sets the Retry-After hint of a request that did not run. Callers retry only a few times. A new request
// with a short wait can still meet its target; any other request has the best chance when its retries are spread over
// its remaining time.
func (c *call) withRetryAfter(now timekeeper.Millis, failure *classifier.Error) *classifier.Error {
	if failure.Outcome != classifier.OutcomeNotRun || c.job.Nested || !isTransient(failure.Code) {
		return failure
	}
	wait := retryAfter(failure, now)
	shortWait := c.job.Target / shortWaitDivisor
	if wait == 0 || wait > shortWait || c.age > shortWait || c.job.Late {
		longest := max(c.callerDeadline-now, 0) / maxWaitDivisor
		wait = longest - timekeeper.Millis(rand.Int64N(int64(longest/waitJitterDivisor)+1))
	}
	copied := *failure
	copied.Cause = &admitter.RetryError{After: max(wait, shortWait/2, 1)}
	return &copied
}

// unmatchedCall returns a call with the deadline of a request that was not matched to a configured call.
func unmatchedCall(r *http.Request, now timekeeper.Millis) *call {
	remaining, err := decodeMillis(r.Header, headerDeadline, 0)
	if err != nil {
		remaining = 0
	}
	return &call{callerDeadline: now + remaining}
}

// isTransient reports whether the reason of a refusal may be gone when the caller retries.
func isTransient(code classifier.Code) bool {
	switch code {
	case classifier.CodeOverload, classifier.CodeNoUpstream, classifier.CodeDraining, classifier.CodeNotReady,
		classifier.CodeUpstreamUnreached, classifier.CodeBodyMemory, classifier.CodeKeysStale:
		return true
	}
	return false
}
