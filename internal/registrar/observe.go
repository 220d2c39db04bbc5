package registrar

import (
	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// ObserveLimit records the limit that the upstream stated in the response to a request sent at a time, or that it
// stated none. A response of another process than the current one is ignored.
func (r *Registrar) ObserveLimit(instance string, limit admitter.Limit, sent timekeeper.Millis) {
	current := r.current.Load()
	if current.ID != instance {
		return
	}
	if current.Responded && current.Limit == limit {
		r.lastResponse.Store(int64(r.options.Clock.Now()))
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.isCurrent(instance, sent) {
		r.recordLimit(limit, sent)
	}
}

// recordLimit records a limit of the current process, stated in the response to a request sent at a time. The caller
// holds the lock.
func (r *Registrar) recordLimit(limit admitter.Limit, sent timekeeper.Millis) {
	if !limit.Replaces(r.state.Limit, r.limitedSince, sent) {
		return
	}
	now := r.options.Clock.Now()
	r.lastResponse.Store(int64(now))
	if r.state.Limit.Stated != limit.Stated { // an upstream may state another rate in each response
		r.limitedSince = now
		r.options.Logger.Info("limit of the upstream begins or ends", zap.String("instance", r.state.ID),
			zap.Bool("limited", limit.Stated), zap.Float64("limit", limit.Rate),
			zap.Float64("limit_before", r.state.Limit.Rate))
	}
	r.state.Limit, r.state.Responded = limit, true
	r.publish()
}

// ObserveLeaving records that the upstream stated in the response to a request sent at a time that it is leaving, which
// its heartbeats may state later or never. It gets no new requests from then on. A response of another process than the
// current one is ignored.
func (r *Registrar) ObserveLeaving(instance string, sent timekeeper.Millis) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.isCurrent(instance, sent) {
		r.recordLeaving()
	}
}

// isCurrent reports whether the response of an instance to a request sent at a time is from the current process. A
// restarted upstream may keep its id. The caller holds the lock.
func (r *Registrar) isCurrent(instance string, sent timekeeper.Millis) bool {
	return r.state.ID == instance && sent >= r.foundAt
}

// recordLeaving records that the current process is leaving. The caller holds the lock.
func (r *Registrar) recordLeaving() {
	if !r.leave(r.options.Clock.Now()) {
		return
	}
	r.options.Logger.Info("upstream states that it is leaving", zap.String("instance", r.state.ID))
	r.publish()
}
