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

// Times of the lease holder's loops.
const (
	watchWait     = 25 * timekeeper.Second
	submitGrace   = 2 * timekeeper.Second // a node that accepted a set usually publishes it within this time
	collectPeriod = 10 * timekeeper.Minute
	idleWait      = timekeeper.Second
)

// Run keeps the lease while leader reports true, and publishes what other nodes left unfinished. It ends with the
// context.
func (p *Publisher) Run(ctx context.Context, leader func() bool) error {
	var held atomic.Bool
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.keepLease(ctx, leader, &held) })
	group.Go(func() error { return p.reconcile(ctx, &held) })
	group.Go(func() error { return p.collectLoop(ctx, &held) })
	return group.Wait()
}

// keepLease takes and renews the lease.
func (p *Publisher) keepLease(ctx context.Context, leader func() bool, held *atomic.Bool) error {
	wait := timekeeper.Millis(0)
	for connector.Sleep(ctx, wait) == nil {
		wait = leaseRenew
		if leader() || p.lease.held {
			wait = p.stepLease(ctx, leader())
		}
		held.Store(p.lease.holds(p.options.Clock.Now()))
	}
	return nil
}

// stepLease makes at most two platform calls and returns the wait before the next step.
func (p *Publisher) stepLease(ctx context.Context, leader bool) timekeeper.Millis {
	now := p.options.Clock.Now()
	if !leader {
		p.lease.lost()
		return leaseRenew
	}
	if !p.lease.holds(now) {
		object, err := p.options.Platform.Get(ctx, connector.KindLease, leaseName)
		if err != nil && classifier.CodeOf(err) != classifier.CodeObjectMissing {
			return leasePoll
		}
		p.lease.observe(now, object.Revision)
	}
	object, ok := p.lease.request(now)
	if !ok {
		return leasePoll
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
		p.lease.lost()
	}
	return leaseRenew
}

// reconcile publishes while the lease is held: once at first, then after each change of the sources.
func (p *Publisher) reconcile(ctx context.Context, held *atomic.Bool) error {
	backoff := p.backoff()
	resolved, fresh := uint64(0), true
	for ctx.Err() == nil {
		if !held.Load() {
			fresh = true
			_ = connector.Sleep(ctx, idleWait)
			continue
		}
		next, err := p.reconcileOnce(ctx, resolved, fresh)
		if err != nil {
			p.options.Log.Warn("publisher: reconciliation failed", zap.Error(err))
			_ = backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
		resolved, fresh = next, false
	}
	return nil
}

func (p *Publisher) reconcileOnce(ctx context.Context, resolved uint64, fresh bool) (uint64, error) {
	if !fresh {
		changes, err := p.options.Platform.Watch(ctx, connector.KindSource, resolved, watchWait)
		if err != nil || len(changes.Objects) == 0 {
			return resolved, err
		}
		if err := connector.Sleep(ctx, submitGrace); err != nil {
			return resolved, err
		}
	}
	c, err := p.publish(ctx)
	if err != nil {
		return resolved, err
	}
	return c.resolved, nil
}
