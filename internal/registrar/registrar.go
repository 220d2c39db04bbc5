package registrar

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// silentBeats is how many heartbeats may be missing before the upstream is taken to be gone: they may come
	// seconds late.
	silentBeats = 4
	// checkTimeout bounds the connection that tells whether the upstream's process is there, in ms. It is on the
	// same machine.
	checkTimeout timekeeper.Millis = 300
)

// Options describe the upstream beside a node.
type Options struct {
	Service  string
	Address  string            // where it takes requests, IP:port
	Interval timekeeper.Millis // time between two heartbeats
	Clock    timekeeper.Clock
	Logger   *zap.Logger
	OnChange func(State) // told of each change of the state; must not block
	// Health asks the upstream itself; nil takes the first heartbeat as it is.
	Health func(ctx context.Context) (Health, error)
}

// Registrar follows one upstream by its heartbeats and by the connections to it. It is safe for concurrent use.
type Registrar struct {
	options  Options
	mutex    sync.Mutex
	state    State
	known    bool
	gone     bool // the present process said that it ends, or was seen to have ended
	draining bool // the present process said that it is leaving
	beaten   bool // a heartbeat was taken; a goodbye alone may not say which process it is from
	proof    proof
	heard    timekeeper.Millis // time of the last heartbeat that was taken
	current  atomic.Pointer[State]
	restarts atomic.Uint64
}

// New returns a registrar that knows no upstream yet.
func New(options Options) *Registrar {
	r := &Registrar{options: options}
	r.current.Store(&State{})
	return r
}

// Heartbeat takes a heartbeat. It fails with code 403 when the heartbeat is not about the upstream beside this node.
// Late ones are acknowledged and change nothing.
func (r *Registrar) Heartbeat(b Heartbeat) error {
	if b.Service != r.options.Service || b.Address != r.options.Address || b.ID == "" || b.Slots <= 0 {
		return classifier.New(classifier.CodeBadRequest, "heartbeat", "%.64q of %.64q at %.64q is not the upstream here",
			b.ID, b.Service, b.Address)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fresh := !r.known || b.Incarnation > r.state.Incarnation
	if !fresh && (b.Incarnation < r.state.Incarnation || b.ID != r.state.ID || b.Sequence <= r.state.Sequence) {
		r.options.Logger.Info("late heartbeat ignored", zap.String("instance", b.ID), zap.Uint64("sequence", b.Sequence))
		return nil
	}
	now := r.options.Clock.Now()
	if fresh {
		if r.beaten {
			r.restarts.Add(1)
			r.proof.sound = true // the upstream started while this process was there
		}
		r.beaten = true
		r.gone, r.draining = false, false
		r.options.Logger.Info("upstream found", zap.String("instance", b.ID), zap.Uint64("born", b.Incarnation),
			zap.Int("slots", b.Slots))
	}
	r.known, r.heard = true, now
	r.gone = r.gone && r.draining // a heartbeat refutes silence, and never a goodbye
	if b.Leaving && !r.draining {
		r.draining = true
		r.options.Logger.Info("upstream is leaving", zap.String("instance", b.ID), zap.Uint64("sequence", b.Sequence))
	}
	r.hear()
	r.state.Heartbeat = b
	r.state.Started = r.startOf(now, &b, fresh)
	r.publish()
	return nil
}

// startSlack is the difference between two statements of the same start that says nothing, in ms: heartbeats take time.
const startSlack timekeeper.Millis = 500

// startOf returns when the slow start of an upstream is over. It keeps what was told before unless the heartbeat says
// otherwise: each change is told to all nodes. The caller holds the lock.
func (r *Registrar) startOf(now timekeeper.Millis, b *Heartbeat, fresh bool) timekeeper.Millis {
	told, known := now+b.ColdStart, r.state.Started
	if !fresh && (b.ColdStart == 0 && known <= told || max(told-known, known-told) <= startSlack) {
		return known
	}
	return told
}

// Deregister takes the last message of an upstream. One about another process changes nothing.
func (r *Registrar) Deregister(l Deregistration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.known && (l.ID != r.state.ID || l.Incarnation != 0 && l.Incarnation < r.state.Incarnation) {
		r.options.Logger.Info("late goodbye ignored", zap.String("instance", l.ID))
		return
	}
	if !r.known {
		// The process before this one may have known the upstream: its later heartbeats must not bring it back.
		r.known, r.state.ID, r.state.Incarnation = true, l.ID, l.Incarnation
		r.state.Sequence = ^uint64(0)
	}
	r.gone, r.draining = true, true
	r.options.Logger.Info("upstream said goodbye", zap.String("instance", l.ID))
	r.publish()
}

// publish makes the state visible. The caller holds the lock.
func (r *Registrar) publish() {
	r.state.Ready = r.known && !r.gone && !r.draining && r.proof.sound
	if *r.current.Load() == r.state {
		return
	}
	next := r.state
	r.current.Store(&next)
	if r.options.OnChange != nil {
		r.options.OnChange(next)
	}
}

// Current returns the state without a lock.
func (r *Registrar) Current() State {
	return *r.current.Load()
}

// Instance returns the id of the upstream's process, false if it takes no new work.
func (r *Registrar) Instance() (string, bool) {
	state := r.current.Load()
	return state.ID, state.Ready
}

// ExpireStale takes an upstream that has been silent for several heartbeats to be gone.
func (r *Registrar) ExpireStale() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if silent := r.options.Clock.Now() - r.heard; r.known && !r.gone && silent > silentBeats*r.options.Interval {
		r.gone = true
		r.options.Logger.Warn("upstream is silent", zap.String("instance", r.state.ID),
			zap.Int64("silence_ms", int64(silent)))
		r.publish()
	}
}

// Alive reports whether the upstream is there and takes new work.
func (r *Registrar) Alive() bool {
	return r.current.Load().Ready
}

// Check connects to the upstream and reports whether its process is there. Restarts is up to date afterwards.
func (r *Registrar) Check(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: checkTimeout.Duration()}
	conn, err := dialer.DialContext(ctx, "tcp", r.options.Address)
	if err == nil {
		_ = conn.Close()
		return true
	}
	if ctx.Err() != nil {
		return r.Alive()
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.known && !r.gone {
		r.gone = true
		r.restarts.Add(1)
		r.options.Logger.Warn("upstream ended", zap.String("instance", r.state.ID), zap.Error(err))
		r.publish()
	}
	return false
}

// Restarts returns how often the upstream was seen to end.
func (r *Registrar) Restarts() uint64 {
	return r.restarts.Load()
}
