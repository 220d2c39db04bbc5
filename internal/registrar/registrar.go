package registrar

import (
	"context"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

const (
	// missedHeartbeats is the number of heartbeats that may be missing before the upstream counts as down: heartbeats
	// may arrive seconds late.
	missedHeartbeats = 4
	// checkTimeout is the timeout of the connection that Check opens, in ms. The upstream is on the same machine.
	checkTimeout timekeeper.Millis = 300
	// maxSequence bounds the sequence of a heartbeat: larger integers are not exact in JSON.
	maxSequence = 1 << 53
	// maxIDBytes bounds the id of an upstream.
	maxIDBytes = 128
	// maxAhead bounds how far the start of an upstream may lie in the future, in ms. The clocks of the machine and of the
	// node may differ.
	maxAhead = 24 * 60 * timekeeper.Minute
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
	confirmed         bool              // the current start sent another heartbeat, or a health check named it
	rivals            []*rival          // other starts whose heartbeats came
	late              lateHeartbeats
	current           atomic.Pointer[State]
	restarts          atomic.Uint64
	lastResponse      atomic.Int64      // time of the last response that showed the limit, in ms
	foundAt           timekeeper.Millis // time of the first heartbeat of the current process
	leftAt            timekeeper.Millis // time at which draining became true
	limitedSince      timekeeper.Millis // time at which the last limit began or ended, as far as known
}

// New returns a registrar without an upstream.
func New(options Options) *Registrar {
	r := &Registrar{options: options}
	r.current.Store(&State{})
	return r
}

// Heartbeat processes a heartbeat. It fails with code 403 if the heartbeat is not from the upstream beside this node or
// has values that no upstream has. Late heartbeats are acknowledged and ignored.
func (r *Registrar) Heartbeat(b Heartbeat) error {
	now := r.options.Clock.Now()
	if err := r.check(&b, now); err != nil {
		r.LogRejected(b.ID, err)
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	newProcess := !r.known
	if r.known && (b.ID != r.state.ID || b.Incarnation != r.state.Incarnation) {
		newProcess = r.considerRival(&b)
		if !newProcess {
			r.options.Logger.Info("heartbeat of another start ignored", zap.String("instance", b.ID),
				zap.Uint64("born", b.Incarnation), zap.Uint64("sequence", b.Sequence))
			return nil
		}
	} else if r.known && r.isLate(&b) {
		r.options.Logger.Info("late heartbeat ignored", zap.String("instance", b.ID), zap.Uint64("sequence", b.Sequence))
		return nil
	}
	if !newProcess && b.Sequence <= r.state.Sequence {
		r.options.Logger.Warn("sequence of the heartbeats is lower again", zap.String("instance", b.ID),
			zap.Uint64("sequence", b.Sequence), zap.Uint64("sequence_before", r.state.Sequence))
	}
	r.late = lateHeartbeats{}
	if newProcess {
		r.replaceStart(now, &b)
	} else {
		r.confirm()
	}
	r.lastHeartbeat = now
	r.down = r.down && r.draining // a heartbeat makes an upstream ready again, unless it announced its end
	if b.Leaving && r.leave(now) {
		r.options.Logger.Info("upstream is leaving", zap.String("instance", b.ID), zap.Uint64("sequence", b.Sequence))
	}
	r.countHeartbeat()
	r.state.Heartbeat = b
	r.state.ColdStartEnd = r.coldStartEnd(now, &b, newProcess)
	r.publish()
	return nil
}

// LogRejected logs a heartbeat or a deregistration that is not from the upstream beside this node, or is malformed.
func (r *Registrar) LogRejected(id string, err error) {
	r.options.Logger.Info("message rejected", zap.String("instance", id), zap.Error(err))
}

// check fails for a heartbeat of another sender.
func (r *Registrar) check(b *Heartbeat, now timekeeper.Millis) error {
	switch {
	case b.Service != r.options.Service || b.Address != r.options.Address || !validID(b.ID):
		return classifier.New(classifier.CodeBadRequest, "heartbeat",
			"instance %.64q of service %.64q at %.64q is not the upstream of this node", b.ID, b.Service, b.Address)
	case b.Slots <= 0 || b.Slots > tracker.MaxSlots:
		return outOfRange("slots", uint64(b.Slots))
	case b.Sequence > maxSequence:
		return outOfRange("sequence", b.Sequence)
	}
	return checkIncarnation(b.Incarnation, now)
}

// validID reports whether an id can be sent in a header: printable ASCII without spaces.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes &&
		!strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c > '~' })
}

// checkIncarnation fails for a start that lies too far in the future.
func checkIncarnation(incarnation uint64, now timekeeper.Millis) error {
	if incarnation > uint64(now+maxAhead) {
		return outOfRange("start", incarnation)
	}
	return nil
}

func outOfRange(field string, value uint64) error {
	failure := classifier.New(classifier.CodeBadRequest, "heartbeat", "%d is out of range", value)
	failure.Field = field
	return failure
}

// lateHeartbeats counts the heartbeats of the current process that came one after the other in their order, but below
// the last accepted one.
type lateHeartbeats struct {
	count    int
	sequence uint64 // of the last one
}

// isLate reports whether a heartbeat must be ignored because a newer one was accepted. Several heartbeats of the
// current process in their order show that the newer one was not from the upstream; unless the upstream is leaving,
// they count again. The caller holds the lock.
func (r *Registrar) isLate(b *Heartbeat) bool {
	if b.Sequence > r.state.Sequence {
		return false
	}
	if b.Sequence <= r.late.sequence {
		r.late.count = 0
	}
	r.late.count++
	r.late.sequence = b.Sequence
	return r.draining || !r.heartbeatAccepted || r.late.count < verifyingHeartbeats
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

// Deregister processes the last message of an upstream. It fails with code 403 for a start that no upstream has. A
// message of another process is ignored.
func (r *Registrar) Deregister(d Deregistration) error {
	if err := checkIncarnation(d.Incarnation, r.options.Clock.Now()); err != nil {
		r.LogRejected(d.ID, err)
		return err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.rivals = slices.DeleteFunc(r.rivals, func(v *rival) bool {
		return v.ID == d.ID && (d.Incarnation == 0 || d.Incarnation == v.Incarnation)
	})
	successor := r.draining && d.Incarnation > r.state.Incarnation
	if r.known && !successor && (d.ID != r.state.ID || d.Incarnation != 0 && d.Incarnation < r.state.Incarnation) {
		r.options.Logger.Info("late deregistration ignored", zap.String("instance", d.ID))
		return nil
	}
	if !r.known || successor {
		// The previous process of the node may have known the upstream, or the known process has ended and no health check
		// has confirmed the next one: late heartbeats must not make it ready again.
		r.known, r.state.ID, r.state.Incarnation = true, d.ID, d.Incarnation
		r.state.Sequence = ^uint64(0)
	}
	r.down = true
	r.leave(r.options.Clock.Now())
	r.confirmed = r.confirmed || d.Incarnation == r.state.Incarnation // this is its second message
	r.options.Logger.Info("upstream deregistered", zap.String("instance", d.ID))
	r.publish()
	return nil
}

// leave records that the current process is leaving, and reports whether that is new. The caller holds the lock.
func (r *Registrar) leave(now timekeeper.Millis) bool {
	if r.draining {
		return false
	}
	r.draining, r.leftAt = true, now
	return true
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
