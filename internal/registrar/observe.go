package registrar

import (
	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
)

// ObserveLimit records the limit that the upstream stated in a response, or that it stated none. A response of another
// process than the current one is ignored.
func (r *Registrar) ObserveLimit(instance string, limit admitter.Limit) {
	if current := r.current.Load(); current.ID != instance || current.Limit == limit {
		return
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.state.ID != instance || r.state.Limit == limit {
		return
	}
	r.options.Logger.Info("upstream states another limit", zap.String("instance", instance),
		zap.Bool("limited", limit.Stated), zap.Float64("limit", limit.Rate), zap.Bool("limited_before", r.state.Limit.Stated),
		zap.Float64("limit_before", r.state.Limit.Rate))
	r.state.Limit = limit
	r.publish()
}

// ObserveLeaving records that the upstream stated in a response that it is leaving, which its heartbeats may state
// later or never. It gets no new requests from then on.
func (r *Registrar) ObserveLeaving(instance string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.state.ID != instance || r.draining {
		return
	}
	r.draining = true
	r.options.Logger.Info("upstream states that it is leaving", zap.String("instance", instance))
	r.publish()
}
