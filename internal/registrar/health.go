package registrar

import (
	"context"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// healthTimeout is the timeout of a health check, in ms. The upstream is on the same machine and may be busy.
	healthTimeout timekeeper.Millis = 500
	// healthInterval is the minimum time between two health checks, in ms.
	healthInterval timekeeper.Millis = 200
	// healthAttempts is the maximum number of failed health checks after a heartbeat.
	healthAttempts int = 10
	// verifyingHeartbeats is the number of heartbeats that replace a successful health check. An upstream that has
	// left causes only a few late heartbeats, and health checks may be wrong.
	verifyingHeartbeats = 3
	// limitTimeout is the age of the last response, in ms, from which a health check asks whether a limit is still in
	// force: at a low limit no request may be allowed for seconds.
	limitTimeout = 2 * timekeeper.Second
)

// Health is the response of an upstream to a health check. A check that the upstream shed fails, but its Limit and
// Leaving are valid.
type Health struct {
	ID      string
	Ready   bool // accepts new requests
	Limit   admitter.Limit
	Leaving bool
}

// verification is the state of the check that the first upstream seen by this process is still running. The previous
// process of the node may have acknowledged its deregistration, and an earlier heartbeat may arrive seconds late.
type verification struct {
	heartbeats int
	attempts   int               // health checks since the last heartbeat
	checkedAt  timekeeper.Millis // start of the last health check
	passed     bool
}

// Verify runs a health check of the upstream if the instance in its heartbeats is not verified yet, or if its limit may
// have ended without a response that shows it. Call it a few times a second.
func (r *Registrar) Verify(ctx context.Context) {
	id, ok := r.beginHealthCheck()
	if !ok {
		return
	}
	checkCtx, cancel := context.WithTimeout(ctx, healthTimeout.Duration())
	defer cancel()
	sent := r.options.Clock.Now()
	health, err := r.options.Health(checkCtx)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.options.Logger.Info("upstream health checked", zap.String("instance", id), zap.String("answered", health.ID),
		zap.Bool("ready", health.Ready), zap.Error(err))
	if !r.isCurrent(id, sent) {
		return
	}
	if err == nil && r.settle(r.options.Clock.Now(), &health, sent) {
		return
	}
	if err == nil && health.ID == id || health.Limit.Stated {
		r.recordLimit(health.Limit, sent)
	}
	if health.Leaving {
		r.recordLeaving()
	}
	if err != nil || r.verification.passed {
		return
	}
	r.verification.attempts = healthAttempts // no further check until the next heartbeat
	if health.Ready && health.ID == id {
		r.verification.passed = true
		r.publish()
	}
}

// beginHealthCheck returns the id of the upstream and counts an attempt if a health check is due.
func (r *Registrar) beginHealthCheck() (id string, ok bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Clock.Now()
	sinceCheck := now - r.verification.checkedAt
	contest := r.contest()
	if !r.known || (r.down || r.draining) && contest == nil {
		return "", false
	}
	switch {
	case contest != nil:
		if sinceCheck < healthInterval {
			return "", false
		}
		contest.checks++
	case r.verification.passed:
		sinceResponse := now - timekeeper.Millis(r.lastResponse.Load())
		if !r.state.Limit.Stated || sinceResponse < limitTimeout || sinceCheck < limitTimeout {
			return "", false
		}
	case r.verification.attempts >= healthAttempts || sinceCheck < healthInterval:
		return "", false
	}
	r.verification.attempts++
	r.verification.checkedAt = now
	return r.state.ID, true
}

// countHeartbeat counts a heartbeat towards the verification. The caller holds the lock.
func (r *Registrar) countHeartbeat() {
	r.verification.heartbeats++
	r.verification.attempts = 0
	r.verification.passed = r.verification.passed || r.options.Health == nil ||
		r.verification.heartbeats >= verifyingHeartbeats
}
