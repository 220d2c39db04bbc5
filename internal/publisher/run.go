package publisher

import (
	"context"
	"sync/atomic"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Timing of the lease holder's loops.
const (
	watchTimeout    = 25 * timekeeper.Second
	submitGrace     = 2 * timekeeper.Second // a node that accepted a set usually publishes it within this time
	collectInterval = 10 * timekeeper.Minute
	idleDelay       = timekeeper.Second // between checks whether the lease is held
)

// Run acquires and renews the lease while eligible reports true. The lease holder publishes the sets and sources that
// other nodes stored but did not publish, and collects garbage. Run returns when the context ends.
func (p *Publisher) Run(ctx context.Context, eligible func() bool) error {
	var held atomic.Bool
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.keepLease(ctx, eligible, &held) })
	group.Go(func() error { return p.reconcile(ctx, &held) })
	group.Go(func() error { return p.collectLoop(ctx, &held) })
	return group.Wait()
}

// keepLease acquires and renews the lease.
func (p *Publisher) keepLease(ctx context.Context, eligible func() bool, held *atomic.Bool) error {
	wait := timekeeper.Millis(0)
	for connector.Sleep(ctx, wait) == nil {
		wait = leaseRenewInterval
		if eligible() || p.lease.held {
			wait = p.stepLease(ctx, eligible())
		}
		held.Store(p.lease.holds(p.options.Clock.Now()))
	}
	return nil
}

// stepLease makes at most two platform calls and returns the wait before the next step.
func (p *Publisher) stepLease(ctx context.Context, eligible bool) timekeeper.Millis {
	now := p.options.Clock.Now()
	if !eligible {
		p.lease.reset()
		return leaseRenewInterval
	}
	if !p.lease.holds(now) {
		object, err := p.options.Platform.Get(ctx, connector.KindLease, leaseName)
		if err != nil && classifier.CodeOf(err) != classifier.CodeObjectMissing {
			return leasePollInterval
		}
		p.lease.observe(now, object.Revision)
	}
	object, ok := p.lease.request(now)
	if !ok {
		return leasePollInterval
	}
	revision, err := p.options.Platform.Put(ctx, object)
	switch {
	case err == nil:
		if !p.lease.held {
			p.options.Log.Info("publisher: lease taken")
		}
		p.lease.granted(now, revision)
	case classifier.CodeOf(err) == classifier.CodeConflict:
		p.options.Log.Info("publisher: lease lost")
		p.lease.reset()
	}
	return leaseRenewInterval
}

// reconcile publishes while the lease is held: once after the node acquires it, then after each change of the sources.
func (p *Publisher) reconcile(ctx context.Context, held *atomic.Bool) error {
	backoff := p.backoff()
	resolvedRevision, initial := uint64(0), true
	for ctx.Err() == nil {
		if !held.Load() {
			initial = true
			_ = connector.Sleep(ctx, idleDelay)
			continue
		}
		next, err := p.reconcileOnce(ctx, resolvedRevision, initial)
		if err != nil {
			p.options.Log.Warn("publisher: reconciliation failed", zap.Error(err))
			_ = backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
		resolvedRevision, initial = next, false
	}
	return nil
}

// reconcileOnce runs a publication cycle. Unless initial is true, it first waits for a change of the sources, and runs
// no cycle if there is none. It returns the source revision up to which nothing remains to be done.
func (p *Publisher) reconcileOnce(ctx context.Context, resolvedRevision uint64, initial bool) (uint64, error) {
	if !initial {
		changes, err := p.options.Platform.Watch(ctx, connector.KindSource, resolvedRevision, watchTimeout)
		if err != nil || len(changes.Objects) == 0 {
			return resolvedRevision, err
		}
		if err := connector.Sleep(ctx, submitGrace); err != nil {
			return resolvedRevision, err
		}
	}
	c, err := p.publish(ctx)
	if err != nil {
		return resolvedRevision, err
	}
	return c.resolvedRevision, nil
}
