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

// closedBit marks the count of calls in flight once the node drains.
const closedBit = 1 << 62

// Options are the steps of a planned stop, in the order in which they are taken. Steps that are nil are left out.
type Options struct {
	Logger   *zap.Logger
	Announce func()                          // sets the member's state to draining and pushes it
	Close    func()                          // closes the admission queue for new work
	Grace    timekeeper.Millis               // bound on the wait for work in flight; 0 for none
	Linger   timekeeper.Millis               // least time between Close and Leave, in which new work is refused
	Handover func(ctx context.Context) error // passes records on to their owners
	Leave    func(ctx context.Context)       // tells the mesh that the node left
}

// Drainer counts the calls in flight on a node and ends its service without cutting one off.
type Drainer struct {
	options Options
	state   atomic.Int64 // calls in flight, plus closedBit
	idle    chan struct{}
	ending  sync.Once
	once    sync.Once
	err     error

	admitAll bool // admits calls while draining; set by tests only
}

// New returns the drainer of a node that takes work.
func New(options Options) *Drainer {
	return &Drainer{options: options, idle: make(chan struct{})}
}

// Begin counts a call in, or returns false once the node drains. Each true needs one End.
func (d *Drainer) Begin() bool {
	if d.state.Add(1)&closedBit == 0 || d.admitAll {
		return true
	}
	d.End()
	return false
}

// Hold counts work in that outlives a call, such as a record. The call must be counted itself when Hold is called, so
// that the wait of a drain cannot be over yet. Each Hold needs one End.
func (d *Drainer) Hold() {
	d.state.Add(1)
}

// End counts a call out.
func (d *Drainer) End() {
	if d.state.Add(-1) == closedBit {
		d.ending.Do(func() { close(d.idle) })
	}
}

// Draining reports whether the stop has begun.
func (d *Drainer) Draining() bool {
	return d.state.Load()&closedBit != 0
}

// Running returns the number of calls in flight.
func (d *Drainer) Running() int64 {
	return d.state.Load() &^ closedBit
}

// Drain refuses new work, waits for work in flight, hands over the records and leaves the mesh. It returns early when
// ctx ends. Later calls wait for the first and return its result.
func (d *Drainer) Drain(ctx context.Context) error {
	d.once.Do(func() { d.err = d.drain(ctx) })
	return d.err
}

func (d *Drainer) drain(ctx context.Context) error {
	if d.state.Or(closedBit) == 0 {
		d.ending.Do(func() { close(d.idle) })
	}
	run(d.options.Announce)
	run(d.options.Close)
	lingered := time.NewTimer(d.options.Linger.Duration())
	defer lingered.Stop()
	err := d.wait(ctx)
	select {
	case <-lingered.C:
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

func (d *Drainer) wait(ctx context.Context) error {
	if d.options.Grace > 0 {
		bounded, cancel := context.WithTimeout(ctx, d.options.Grace.Duration())
		defer cancel()
		ctx = bounded
	}
	select {
	case <-d.idle:
		return nil
	case <-ctx.Done():
		if d.options.Logger != nil {
			d.options.Logger.Warn("drainer: work is still in flight at the end of the wait", zap.Int64("calls", d.Running()))
		}
		return ctx.Err()
	}
}

func run(step func()) {
	if step != nil {
		step()
	}
}
