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

	mutex   sync.Mutex
	limit   admitter.Limit
	since   timekeeper.Millis // time at which the last limit began or ended, as far as known
	lastEnd uint64            // value of restarts when the current process of the upstream was found
	foundAt timekeeper.Millis // time at which the end of the process before was noticed; 0 if there was none
	leaving bool              // the current process is leaving
}

// ObserveLimit implements forwarder.Observer.
func (o *observer) ObserveLimit(_ string, limit admitter.Limit, sent timekeeper.Millis) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.noticeEnd()
	if sent < o.foundAt || o.limit == limit || !limit.Replaces(o.limit, o.since, sent) {
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
func (o *observer) ObserveLeaving(_ string, sent timekeeper.Millis) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.noticeEnd()
	if sent < o.foundAt || o.leaving {
		return
	}
	o.leaving = true
	o.logger.Info("upstream is leaving")
}

// noticeEnd checks whether the upstream's process has ended since the last call. If so, responses to requests sent
// before now are ignored, and the next process is not leaving. The caller holds the lock.
func (o *observer) noticeEnd() {
	if ended := o.restarts(); ended != o.lastEnd {
		o.lastEnd, o.foundAt, o.leaving = ended, o.clock.Now(), false
	}
}

// observeProbe records what the response to a probe states, some ms after the probe was sent.
func (o *observer) observeProbe(header http.Header, elapsed timekeeper.Millis) {
	sent := o.clock.Now() - elapsed
	if header.Get(forwarder.HeaderLeaving) == "1" {
		o.ObserveLeaving("", sent)
	}
	limit, err := admitter.ParseLimit(header.Get(forwarder.HeaderLimit))
	if err != nil {
		o.logger.Warn("limit in the response to a probe ignored", zap.Error(err))
		return
	}
	o.ObserveLimit("", limit, sent)
}

// instance reports whether the upstream accepts new requests. Processes of such upstreams have no ids.
func (o *observer) instance() (id string, ok bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.noticeEnd()
	return "", !o.leaving
}
