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

// shares are the quantiles that the text shows of each timer.
var shares = []float64{0.5, 0.9, 0.99, 0.999}

// WriteText writes all metrics, sorted, one "name value" per line. Timers give quantiles, count, sum and maximum in
// seconds.
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

// ServeHTTP writes the text as a response.
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
	for name, timer := range m.snapshot() {
		lines = append(lines, timerLines(name, timer.Summary(shares...))...)
	}
	return lines
}

func (m *Meter) snapshot() map[string]*Timer {
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
		line(name, "_sum", "", seconds(summary.Sum.Seconds())),
		line(name, "_max", "", seconds(summary.Max.Seconds())),
	)
	for _, quantile := range summary.Quantiles {
		label := fmt.Sprintf(`quantile="%g"`, quantile.Share)
		lines = append(lines, line(name, "", label, seconds(quantile.Span.Seconds())))
	}
	return lines
}

// line puts a suffix before the labels of a name and one more label among them.
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

func seconds(value float64) string {
	return strconv.FormatFloat(value, 'f', 6, 64)
}
