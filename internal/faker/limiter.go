package faker

import (
	"context"

	"golang.org/x/time/rate"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Rate limits of the platform, in calls per second. Bursts of one second's calls are allowed.
const (
	readsPerSecond  = 2000
	writesPerSecond = 400
)

// Limited is a platform that rejects calls over its rate limits with CodeRateLimited.
type Limited struct {
	inner  connector.Platform
	reads  *rate.Limiter
	writes *rate.Limiter
}

// NewLimited returns a platform that applies the rate limits and passes the other calls on to inner.
func NewLimited(inner connector.Platform) *Limited {
	return &Limited{
		inner:  inner,
		reads:  rate.NewLimiter(readsPerSecond, readsPerSecond),
		writes: rate.NewLimiter(writesPerSecond, writesPerSecond),
	}
}

// Get implements connector.Platform.
func (l *Limited) Get(ctx context.Context, kind, name string) (connector.Object, error) {
	if !l.reads.Allow() {
		return connector.Object{}, limitError(kind)
	}
	return l.inner.Get(ctx, kind, name)
}

// List implements connector.Platform.
func (l *Limited) List(ctx context.Context, kind string) (connector.Snapshot, error) {
	if !l.reads.Allow() {
		return connector.Snapshot{}, limitError(kind)
	}
	return l.inner.List(ctx, kind)
}

// Put implements connector.Platform.
func (l *Limited) Put(ctx context.Context, object connector.Object) (uint64, error) {
	if !l.writes.Allow() {
		return 0, limitError(object.Kind)
	}
	return l.inner.Put(ctx, object)
}

// Delete implements connector.Platform.
func (l *Limited) Delete(ctx context.Context, kind, name string, revision uint64) error {
	if !l.writes.Allow() {
		return limitError(kind)
	}
	return l.inner.Delete(ctx, kind, name, revision)
}

// Watch implements connector.Platform.
func (l *Limited) Watch(
	ctx context.Context, kind string, after uint64, wait timekeeper.Millis,
) (connector.Snapshot, error) {
	if !l.reads.Allow() {
		return connector.Snapshot{}, limitError(kind)
	}
	return l.inner.Watch(ctx, kind, after, wait)
}

func limitError(kind string) error {
	return classifier.New(classifier.CodeRateLimited, kind, "platform rate limit exceeded")
}
