package forwarder

import (
	"context"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// attemptPatience bounds the wait of a request for others that are under way, in ms, and attemptPatienceDivisor
	// divides its remaining time into another bound.
	attemptPatience        = 800 * timekeeper.Millis(1)
	attemptPatienceDivisor = 4
)

// attemptCount bounds the attempts that an entry node has under way. Each takes connections to a host node, whose
// number the process bounds. It has a place for each; nil for no bound.
type attemptCount chan struct{}

func newAttemptCount(limit int) attemptCount {
	if limit <= 0 {
		return nil
	}
	return make(attemptCount, limit)
}

// acquire waits for a place, in the order of the requests. It fails with code 220 if none is free in time.
func (a attemptCount) acquire(ctx context.Context, c *call, remaining timekeeper.Millis) *classifier.Error {
	if a == nil {
		return nil
	}
	select {
	case a <- struct{}{}:
		return nil
	default:
	}
	patience := min(attemptPatience, remaining/attemptPatienceDivisor)
	timer := time.NewTimer(patience.Duration())
	defer timer.Stop()
	select {
	case a <- struct{}{}:
		return nil
	case <-ctx.Done():
		return classifier.Refuse(classifier.CodeCanceled, c.job.Call, "the caller went away")
	case <-timer.C:
	}
	failure := classifier.Refuse(classifier.CodeOverload, c.job.Call, "too many requests are under way on this node")
	failure.Cause = &admitter.RetryError{After: patience}
	return failure
}

func (a attemptCount) release() {
	if a != nil {
		<-a
	}
}
