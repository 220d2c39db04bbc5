// Package meter holds the counters, gauges and timers of a node and writes them as text.
package meter

import (
	"sync"

	"github.com/rcrowley/go-metrics"
)

// Meter is the set of metrics of one node. Callers look up a metric once and keep it: a lookup takes a lock, an update
// of a counter or gauge does not.
//
// A name consists of lower-case words with underscores and may end in labels: calls{rank="urgent"}.
type Meter struct {
	registry metrics.Registry
	mutex    sync.Mutex
	timers   map[string]*Timer
}

// New returns an empty set of metrics.
func New() *Meter {
	return &Meter{registry: metrics.NewRegistry(), timers: make(map[string]*Timer)}
}

// Counter returns the counter with the given name and creates it if needed.
func (m *Meter) Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, m.registry)
}

// Gauge returns the gauge with the given name and creates it if needed.
func (m *Meter) Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, m.registry)
}

// Function registers a gauge whose value is the result of a function, which is called each time the metrics are
// written. It replaces a previous gauge of that name.
func (m *Meter) Function(name string, value func() int64) {
	m.registry.Unregister(name)
	// Register fails only for a name in use, which Unregister has just freed.
	_ = m.registry.Register(name, metrics.NewFunctionalGauge(value))
}

// Timer returns the timer with the given name and creates it if needed.
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
