package runner

import (
	"net/http"
	"sync"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/forwarder"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// observer applies what the upstream of a node that is not hosted states about itself: in responses to requests and to
// probes. It is safe for concurrent use.
type observer struct {
	setLimit func(admitter.Limit)
	restarts func() uint64 // number of ends of the upstream's process
	clock    timekeeper.Clock
	logger   *zap.Logger

	mutex       sync.Mutex
	limit       admitter.Limit
	since       timekeeper.Millis // time from which the limit is known
	leaving     bool
	leavingLife uint64 // value of restarts when the upstream stated that it is leaving
}

// ObserveLimit implements forwarder.Observer.
func (o *observer) ObserveLimit(_ string, limit admitter.Limit, sent timekeeper.Millis) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.limit == limit || !limit.Replaces(o.limit, o.since, sent) {
		return
	}
	if o.limit.Stated != limit.Stated { // an upstream may state another rate in each response
		o.since = o.clock.Now()
		o.logger.Info("limit of the upstream begins or ends", zap.Bool("limited", limit.Stated),
			zap.Float64("limit", limit.Rate), zap.Float64("limit_before", o.limit.Rate))
	}
	o.limit = limit
	o.setLimit(limit)
}

// ObserveLeaving implements forwarder.Observer.
func (o *observer) ObserveLeaving(string) {
	life := o.restarts()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.leaving && o.leavingLife == life {
		return
	}
	o.leaving, o.leavingLife = true, life
	o.logger.Info("upstream is leaving")
}

// observeProbe records what the response to a probe states, some ms after the probe was sent.
func (o *observer) observeProbe(header http.Header, elapsed timekeeper.Millis) {
	if header.Get(forwarder.HeaderLeaving) == "1" {
		o.ObserveLeaving("")
	}
	limit, err := admitter.ParseLimit(header.Get(forwarder.HeaderLimit))
	if err != nil {
		o.logger.Warn("limit in the response to a probe ignored", zap.Error(err))
		return
	}
	o.ObserveLimit("", limit, o.clock.Now()-elapsed)
}

// instance reports whether the upstream accepts new requests. Processes of such upstreams have no ids.
func (o *observer) instance() (id string, ok bool) {
	life := o.restarts()
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return "", !o.leaving || o.leavingLife != life
}
