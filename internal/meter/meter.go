// Package meter holds the counters, gauges and timers of a node and writes them as text.
package meter

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Meter is the set of metrics of one node. Look a metric up once and keep it; look-ups take a lock, updates of
// counters and gauges do not.
//
// A name has lower-case words with underscores and may end in labels: calls{rank="urgent"}.
type Meter struct {
	registry metrics.Registry
	mutex    sync.Mutex
	timers   map[string]*Timer
}

// New returns an empty set of metrics.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry(), timers: make(map[string]*Timer)}
}

// Counter returns the counter of a name and creates it if needed.
func (m *Meter) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.registry)
}

// Gauge returns the gauge of a name and creates it if needed.
func (m *Meter) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, m.registry)
}

// Function sets the gauge of a name to a function that is called whenever the metrics are written.
func (m *Meter) Function(name string, value func() int64) {
	m.registry.Unregister(name)
	// Register fails only for a name in use, which Unregister has just freed.
	_ = m.registry.Register(name, metrics.NewFunctionalGauge(value))
}

// Timer returns the timer of a name and creates it if needed.
func (m *Meter) Timer(name string) *Timer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	timer, ok := m.timers[name]
	if !ok {
		timer = newTimer()
		m.timers[name] = timer
	}
	return timer
}
