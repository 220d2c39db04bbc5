package meter

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/rcrowley/go-metrics"
)

// prefix starts the name of every metric in the text.
const prefix = "jasmine_"

// quantileLevels are the levels of the quantiles that are written for each timer.
var quantileLevels = []float64{0.5, 0.9, 0.99, 0.999}

// WriteText writes all metrics, sorted, one "name value" per line. A timer has lines for its quantiles, count, sum and
// maximum; durations are in seconds.
func (m *Meter) WriteText(output io.Writer) error {
	lines := m.lines()
	slices.Sort(lines)
	for _, line := range lines {
		if _, err := io.WriteString(output, line+"\n"); err != nil {
			return fmt.Errorf("write metrics: %w", err)
		}
	}
	return nil
}

// ServeHTTP responds with the text of all metrics.
func (m *Meter) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	_ = m.WriteText(w) // the status line has been sent, so a broken connection cannot be reported
}

func (m *Meter) lines() []string {
	var lines []string
	m.registry.Each(func(name string, metric any) {
		switch metric := metric.(type) {
		case metrics.Counter:
			lines = append(lines, line(name, "", "", strconv.FormatInt(metric.Count(), 10)))
		case metrics.Gauge:
			lines = append(lines, line(name, "", "", strconv.FormatInt(metric.Value(), 10)))
		}
	})
	for name, timer := range m.copyTimers() {
		lines = append(lines, timerLines(name, timer.Summary(quantileLevels...))...)
	}
	return lines
}

func (m *Meter) copyTimers() map[string]*Timer {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	timers := make(map[string]*Timer, len(m.timers))
	for name, timer := range m.timers {
		timers[name] = timer
	}
	return timers
}

func timerLines(name string, summary Summary) []string {
	lines := make([]string, 0, 3+len(summary.Quantiles))
	lines = append(lines,
		line(name, "_count", "", strconv.FormatInt(summary.Count, 10)),
		line(name, "_sum", "", formatSeconds(summary.Sum.Seconds())),
		line(name, "_max", "", formatSeconds(summary.Max.Seconds())),
	)
	for _, quantile := range summary.Quantiles {
		label := fmt.Sprintf(`quantile="%g"`, quantile.Level)
		lines = append(lines, line(name, "", label, formatSeconds(quantile.Value.Seconds())))
	}
	return lines
}

// line formats one line. The suffix goes before the labels of the name, and label is added to them.
func line(name, suffix, label, value string) string {
	base, labels, _ := strings.Cut(name, "{")
	labels = strings.TrimSuffix(labels, "}")
	if labels != "" && label != "" {
		label = "," + label
	}
	if labels+label != "" {
		return prefix + base + suffix + "{" + labels + label + "} " + value
	}
	return prefix + base + suffix + " " + value
}

func formatSeconds(value float64) string {
	return strconv.FormatFloat(value, 'f', 6, 64)
}
