package runner

import (
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/forwarder"
	"github.com/jasmineproxy/jasmineproxy/internal/meter"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// addMetrics registers the metrics of the node whose values are read when the metrics are written.
func (n *Node) addMetrics() {
	n.meter.AddRuntime()
	n.meter.Function("config_version_active", func() int64 { return int64(n.Follower.ActiveVersion()) })
	n.meter.Function("config_version_known", func() int64 { return int64(n.Follower.Known()) })
	n.meter.Function("queue_running", func() int64 { return int64(n.queue.Load().Running) })
	n.meter.Function("queue_waiting", func() int64 { return int64(n.queue.Load().Queued) })
	n.meter.Function("records_bytes", func() int64 { return int64(n.deduplicator.Bytes()) })
	n.meter.Function("crash_marks", func() int64 { return int64(len(n.isolator.Marks())) })
	n.meter.Function("audit_entries_dropped", func() int64 { return int64(n.auditor.Dropped()) })
	n.meter.Function("members_failed", func() int64 { return n.members(tracker.HealthFailed) })
	n.meter.Function("members_alive", func() int64 { return n.members(tracker.HealthAlive) })
}

// members counts the members of the node's data centre that have the given health.
func (n *Node) members(health tracker.Health) int64 {
	count := int64(0)
	for _, member := range n.Tracker.Zone(n.settings.Zone) {
		if member.Health == health {
			count++
		}
	}
	return count
}

// callMetrics counts the calls of an entry node. Concurrent calls don't contend for a common lock.
type callMetrics struct {
	next     http.Handler
	meter    *meter.Meter
	duration *meter.Timer
	answered metrics.Counter
	notRun   metrics.Counter
	unknown  metrics.Counter
	retries  metrics.Counter
}

func newCallMetrics(m *meter.Meter, next http.Handler) *callMetrics {
	return &callMetrics{
		next: next, meter: m, duration: m.Timer("call_seconds"),
		answered: m.Counter(`calls{outcome="answered"}`), notRun: m.Counter(`calls{outcome="notrun"}`),
		unknown: m.Counter(`calls{outcome="unknown"}`), retries: m.Counter("call_retries"),
	}
}

// ServeHTTP serves a call and counts its outcome, its refusal code and its retries.
func (c *callMetrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	c.next.ServeHTTP(w, r)
	c.duration.Record(time.Since(start))
	header := w.Header()
	switch classifier.Outcome(header.Get(forwarder.HeaderOutcome)) {
	case classifier.OutcomeAnswered:
		c.answered.Inc(1)
	case classifier.OutcomeNotRun:
		c.notRun.Inc(1)
	default:
		c.unknown.Inc(1)
	}
	if code := header.Get(forwarder.HeaderCode); code != "" && code != "0" {
		c.meter.Counter(`refusals{code="` + code + `"}`).Inc(1)
	}
	if attempts, err := strconv.Atoi(header.Get(forwarder.HeaderAttempts)); err == nil {
		c.retries.Inc(int64(attempts - 1))
	}
}
