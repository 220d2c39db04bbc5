package forwarder

import (
	"math/rand/v2"
	"net/http"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// hintShare is the part of its remaining time, as a divisor, that a caller waits at most before it comes back.
	hintShare = 3
	// soonShare is the part of the target, as a divisor, within which a request is new and a wait is short.
	soonShare = 4
	// hintSpread is the part of a long wait, as a divisor, by which waits differ, so that callers that were refused
	// together do not come back together.
	hintSpread = 4
)

// advise sets after how many ms the caller of a request that did not run should come back. Callers come back a few
// times only. A new request whose wait is short can still meet its target; any other one has the best chance when its
// returns are spread over the time that it has.
func (c *call) advise(now timekeeper.Millis, failure *classifier.Error) *classifier.Error {
	if failure.Outcome != classifier.OutcomeNotRun || c.nested || !passing(failure.Code) {
		return failure
	}
	wait := retryAfter(failure, now)
	soon := c.job.Target / soonShare
	if wait == 0 || wait > soon || c.age > soon || c.job.Late {
		longest := (c.patience - now) / hintShare
		wait = longest - timekeeper.Millis(rand.Int64N(int64(longest/hintSpread)+1))
	}
	advised := *failure
	advised.Cause = &admitter.RetryError{After: max(wait, soon/2, 1)}
	return &advised
}

// visitor is what is known of the time of a request that this node does not match.
func visitor(r *http.Request, now timekeeper.Millis) *call {
	remaining, err := decodeMillis(r.Header, headerDeadline, 0)
	if err != nil {
		remaining = 0
	}
	return &call{patience: now + remaining}
}

// passing reports whether the reason of a refusal can be gone when the caller comes back.
func passing(code classifier.Code) bool {
	switch code {
	case classifier.CodeOverload, classifier.CodeNoUpstream, classifier.CodeDraining, classifier.CodeNotReady,
		classifier.CodeUpstreamUnreached:
		return true
	}
	return false
}
