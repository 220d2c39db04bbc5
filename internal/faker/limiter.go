package faker

import (
	"context"

	"golang.org/x/time/rate"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Rates of the platform, in calls per second.
const (
	platformReads  = 2000
	platformWrites = 400
)

// Limited is a platform that refuses calls over its rates with CodeRateLimited.
type Limited struct {
	inner  connector.Platform
	reads  *rate.Limiter
	writes *rate.Limiter
}

// NewLimited puts the platform's rates in front of inner.
func NewLimited(inner connector.Platform) *Limited {
	return &Limited{
		inner:  inner,
		reads:  rate.NewLimiter(platformReads, platformReads),
		writes: rate.NewLimiter(platformWrites, platformWrites),
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
	return classifier.New(classifier.CodeRateLimited, kind, "platform is over its rate")
}
