// Package drainer carries out the planned stop of a node.
package drainer

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// drainingBit is set in Drainer.state while the node drains, above the count of calls in flight.
const drainingBit = 1 << 62

// Options configures the steps of a planned stop, in the order in which they run. Steps that are nil are skipped.
type Options struct {
	Logger   *zap.Logger
	Announce func()                          // sets the member's state to draining and pushes it
	Close    func()                          // closes the admission queue for new requests
	Grace    func() timekeeper.Millis        // maximum wait for calls in flight, in ms; nil for no limit
	Linger   timekeeper.Millis               // time from Close to Handover, in ms, with new calls refused; at most Grace
	Expel    func()                          // refuses calls that have not started when the wait ends before them
	Handover func(ctx context.Context) error // hands records over to their owners
	Leave    func(ctx context.Context)       // announces to the mesh that the node left
}

// Drainer counts the calls in flight on a node and stops the node without interrupting them.
type Drainer struct {
	options   Options
	state     atomic.Int64  // calls in flight, plus drainingBit
	idle      chan struct{} // closed when the node drains and no call is in flight
	idleOnce  sync.Once
	drainOnce sync.Once
	err       error

	admitWhileDraining bool // Begin returns true while draining; set by tests only
}

// New returns the drainer of a node that admits calls.
func New(options Options) *Drainer {
	return &Drainer{options: options, idle: make(chan struct{})}
}

// Begin counts a new call and returns true, or returns false once the node drains. Each true requires one call of End.
func (d *Drainer) Begin() bool {
	if d.state.Add(1)&drainingBit == 0 || d.admitWhileDraining {
		return true
	}
	d.End()
	return false
}

// BeginBackground counts an operation that may outlast its call, such as writing a record. That call must still be
// counted, so that a drain cannot have stopped waiting. Each BeginBackground requires one call of End.
func (d *Drainer) BeginBackground() {
	d.state.Add(1)
}

// End removes a call or an operation from the count.
func (d *Drainer) End() {
	if d.state.Add(-1) == drainingBit {
		d.idleOnce.Do(func() { close(d.idle) })
	}
}

// Draining reports whether the planned stop has begun.
func (d *Drainer) Draining() bool {
	return d.state.Load()&drainingBit != 0
}

// Running returns the number of calls in flight.
func (d *Drainer) Running() int64 {
	return d.state.Load() &^ drainingBit
}

// Drain refuses new calls, waits for calls in flight, hands over the records and leaves the mesh. It stops waiting when
// ctx ends. Later calls of Drain wait for the first one and return its result.
func (d *Drainer) Drain(ctx context.Context) error {
	d.drainOnce.Do(func() { d.err = d.drain(ctx) })
	return d.err
}

func (d *Drainer) drain(ctx context.Context) error {
	if d.state.Or(drainingBit) == 0 {
		d.idleOnce.Do(func() { close(d.idle) })
	}
	runIfSet(d.options.Announce)
	runIfSet(d.options.Close)
	linger, work := d.options.Linger, ctx
	if d.options.Grace != nil {
		grace := d.options.Grace()
		linger = min(linger, grace)
		bounded, cancel := context.WithTimeout(ctx, grace.Duration())
		defer cancel()
		work = bounded
	}
	lingerTimer := time.NewTimer(linger.Duration())
	defer lingerTimer.Stop()
	err := d.waitIdle(work)
	select {
	case <-lingerTimer.C:
	case <-ctx.Done():
	}
	if d.options.Handover != nil {
		err = errors.Join(err, d.options.Handover(ctx))
	}
	if d.options.Leave != nil {
		d.options.Leave(ctx)
	}
	return err
}

// waitIdle waits until no call is in flight or ctx ends.
func (d *Drainer) waitIdle(ctx context.Context) error {
	select {
	case <-d.idle:
		return nil
	case <-ctx.Done():
		if d.options.Logger != nil {
			d.options.Logger.Warn("drainer: work is still in flight at the end of the wait", zap.Int64("calls", d.Running()))
		}
		runIfSet(d.options.Expel)
		return ctx.Err()
	}
}

func runIfSet(step func()) {
	if step != nil {
		step()
	}
}
