package registrar

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// missedHeartbeats is the number of heartbeats that may be missing before the upstream counts as down: heartbeats
	// may arrive seconds late.
	missedHeartbeats = 4
	// checkTimeout is the timeout of the connection that Check opens, in ms. The upstream is on the same machine.
	checkTimeout timekeeper.Millis = 300
)

// Options describe the upstream beside a node.
type Options struct {
	Service  string
	Address  string            // where the upstream accepts requests, IP:port
	Interval timekeeper.Millis // time between two heartbeats, in ms
	Clock    timekeeper.Clock
	Logger   *zap.Logger
	OnChange func(State) // called on each change of the state; must not block
	// Health runs a health check of the upstream; with nil the first heartbeat is trusted.
	Health func(ctx context.Context) (Health, error)
}

// Registrar tracks one upstream by its heartbeats and by connections to it. It is safe for concurrent use.
type Registrar struct {
	options           Options
	mutex             sync.Mutex
	state             State
	known             bool // a heartbeat or a deregistration was accepted
	down              bool // the current process deregistered, missed its heartbeats or failed a connection check
	draining          bool // the current process announced that it is leaving, or deregistered
	heartbeatAccepted bool // false after a deregistration alone, which may lack the incarnation
	verification      verification
	lastHeartbeat     timekeeper.Millis // time of the last accepted heartbeat
	current           atomic.Pointer[State]
	restarts          atomic.Uint64
	lastResponse      atomic.Int64      // time of the last response that showed the limit, in ms
	foundAt           timekeeper.Millis // time of the first heartbeat of the current process
	limitedSince      timekeeper.Millis // time at which the last limit began or ended, as far as known
}

// New returns a registrar without an upstream.
func New(options Options) *Registrar {
	r := &Registrar{options: options}
	r.current.Store(&State{})
	return r
}

// Heartbeat processes a heartbeat. It fails with code 403 if the heartbeat is not from the upstream beside this node.
// Late heartbeats are acknowledged and ignored.
func (r *Registrar) Heartbeat(b Heartbeat) error {
	if b.Service != r.options.Service || b.Address != r.options.Address || b.ID == "" || b.Slots <= 0 {
		return classifier.New(classifier.CodeBadRequest, "heartbeat",
			"instance %.64q of service %.64q at %.64q is not the upstream of this node", b.ID, b.Service, b.Address)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	newProcess := !r.known || b.Incarnation > r.state.Incarnation
	if !newProcess && (b.Incarnation < r.state.Incarnation || b.ID != r.state.ID || b.Sequence <= r.state.Sequence) {
		r.options.Logger.Info("late heartbeat ignored", zap.String("instance", b.ID), zap.Uint64("sequence", b.Sequence))
		return nil
	}
	now := r.options.Clock.Now()
	if newProcess {
		if r.heartbeatAccepted {
			r.restarts.Add(1)
			r.verification.passed = true // the upstream restarted while this process was running
		}
		r.heartbeatAccepted = true
		r.foundAt = now
		r.down, r.draining = false, false
		r.state.Responded, r.state.Limit = false, admitter.Limit{}
		r.options.Logger.Info("upstream found", zap.String("instance", b.ID), zap.Uint64("born", b.Incarnation),
			zap.Int("slots", b.Slots))
	}
	r.known, r.lastHeartbeat = true, now
	r.down = r.down && r.draining // a heartbeat makes an upstream ready again, unless it announced its end
	if b.Leaving && !r.draining {
		r.draining = true
		r.options.Logger.Info("upstream is leaving", zap.String("instance", b.ID), zap.Uint64("sequence", b.Sequence))
	}
	r.countHeartbeat()
	r.state.Heartbeat = b
	r.state.ColdStartEnd = r.coldStartEnd(now, &b, newProcess)
	r.publish()
	return nil
}

// startTolerance is the difference between two reports of the same start that is ignored, in ms: the delay of
// heartbeats varies.
const startTolerance timekeeper.Millis = 500

// coldStartEnd returns the time at which the slow start of the upstream ends. It keeps the previous time unless the
// heartbeat differs clearly, since each change is sent to all nodes. The caller holds the lock.
func (r *Registrar) coldStartEnd(now timekeeper.Millis, b *Heartbeat, newProcess bool) timekeeper.Millis {
	reported, previous := now+b.ColdStart, r.state.ColdStartEnd
	if !newProcess &&
		(b.ColdStart == 0 && previous <= reported || max(reported-previous, previous-reported) <= startTolerance) {
		return previous
	}
	return reported
}

// Deregister processes the last message of an upstream. A message of another process is ignored.
func (r *Registrar) Deregister(d Deregistration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.known && (d.ID != r.state.ID || d.Incarnation != 0 && d.Incarnation < r.state.Incarnation) {
		r.options.Logger.Info("late deregistration ignored", zap.String("instance", d.ID))
		return
	}
	if !r.known {
		// The previous process of the node may have known the upstream: late heartbeats must not make it ready again.
		r.known, r.state.ID, r.state.Incarnation = true, d.ID, d.Incarnation
		r.state.Sequence = ^uint64(0)
	}
	r.down, r.draining = true, true
	r.options.Logger.Info("upstream deregistered", zap.String("instance", d.ID))
	r.publish()
}

// publish stores a copy of the state for readers and reports a change of it. The caller holds the lock.
func (r *Registrar) publish() {
	r.state.Ready = r.known && !r.down && !r.draining && r.verification.passed
	if *r.current.Load() == r.state {
		return
	}
	next := r.state
	r.current.Store(&next)
	if r.options.OnChange != nil {
		r.options.OnChange(next)
	}
}

// Current returns the state without taking a lock.
func (r *Registrar) Current() State {
	return *r.current.Load()
}

// Instance returns the id of the upstream's process, and whether it accepts new requests.
func (r *Registrar) Instance() (string, bool) {
	state := r.current.Load()
	return state.ID, state.Ready
}

// ExpireStale marks the upstream as down if it missed several heartbeats.
func (r *Registrar) ExpireStale() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if silence := r.options.Clock.Now() - r.lastHeartbeat; r.known && !r.down &&
		silence > missedHeartbeats*r.options.Interval {
		r.down = true
		r.options.Logger.Warn("upstream is silent", zap.String("instance", r.state.ID),
			zap.Int64("silence_ms", int64(silence)))
		r.publish()
	}
}

// Alive reports whether the upstream is running and accepts new requests.
func (r *Registrar) Alive() bool {
	return r.current.Load().Ready
}

// Check connects to the upstream and reports whether its process is running. Restarts is up to date afterwards.
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
	if r.known && !r.down {
		r.down = true
		r.restarts.Add(1)
		r.options.Logger.Warn("upstream ended", zap.String("instance", r.state.ID), zap.Error(err))
		r.publish()
	}
	return false
}

// Restarts returns the number of detected ends and restarts of the upstream.
func (r *Registrar) Restarts() uint64 {
	return r.restarts.Load()
}
