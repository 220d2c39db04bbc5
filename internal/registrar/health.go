package registrar

import (
	"context"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// healthTimeout bounds one question to the upstream, which is on the same machine and may be busy, in ms.
	healthTimeout timekeeper.Millis = 500
	// healthPause lies between two questions, in ms, and healthTries bounds those without an answer.
	healthPause timekeeper.Millis = 200
	healthTries int               = 10
	// provingBeats is the number of heartbeats that stand in for an answer: late ones of an upstream that has left
	// are few, and health checks may be wrong.
	provingBeats = 3
)

// Health is what an upstream answers about itself.
type Health struct {
	ID    string
	Ready bool // takes new work
}

// proof is what speaks for the first upstream that a process hears of. The process before this one may have
// acknowledged that it leaves, and a heartbeat from before that may come seconds late.
type proof struct {
	beats   int
	tries   int
	askedAt timekeeper.Millis
	sound   bool
}

// Verify asks the upstream whether it is the one that the first heartbeat told of, unless that is known. It is to be
// called a few times a second.
func (r *Registrar) Verify(ctx context.Context) {
	id, ok := r.toProve()
	if !ok {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, healthTimeout.Duration())
	defer cancel()
	health, err := r.options.Health(bounded)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.options.Logger.Info("upstream asked", zap.String("instance", id), zap.String("answered", health.ID),
		zap.Bool("ready", health.Ready), zap.Error(err))
	if err != nil || r.state.ID != id {
		return
	}
	r.proof.tries = healthTries // the next heartbeat is a reason to ask again
	if health.Ready && health.ID == id {
		r.proof.sound = true
		r.publish()
	}
}

// toProve returns the id of the upstream if it is to be asked now.
func (r *Registrar) toProve() (id string, ok bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.options.Clock.Now()
	waiting := r.known && !r.gone && !r.draining && !r.proof.sound
	if !waiting || r.proof.tries >= healthTries || now-r.proof.askedAt < healthPause {
		return "", false
	}
	r.proof.tries++
	r.proof.askedAt = now
	return r.state.ID, true
}

// hear counts a heartbeat as a part of the proof. The caller holds the lock.
func (r *Registrar) hear() {
	r.proof.beats++
	r.proof.tries = 0
	r.proof.sound = r.proof.sound || r.options.Health == nil || r.proof.beats >= provingBeats
}
