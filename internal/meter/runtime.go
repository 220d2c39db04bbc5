package meter

import (
	"runtime"
	"runtime/metrics"
	"syscall"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// AddRuntime adds gauges for the process: goroutines, memory in bytes and CPU time in ms since the start.
func (m *Meter) AddRuntime() {
	m.Function("process_goroutines", func() int64 { return int64(runtime.NumGoroutine()) })
	m.Function("process_memory_bytes", func() int64 { return readRuntimeMetric("/memory/classes/total:bytes") })
	m.Function("process_heap_bytes", func() int64 { return readRuntimeMetric("/memory/classes/heap/objects:bytes") })
	m.Function("process_cpu_ms", cpuMillis)
}

// readRuntimeMetric returns the value of a metric of the Go runtime, or 0 if this version of Go does not have it.
func readRuntimeMetric(name string) int64 {
	sample := []metrics.Sample{{Name: name}}
	metrics.Read(sample)
	switch sample[0].Value.Kind() {
	case metrics.KindUint64:
		return int64(sample[0].Value.Uint64())
	case metrics.KindFloat64:
		return int64(sample[0].Value.Float64())
	default:
		return 0
	}
}

// cpuMillis returns the CPU time of the process in ms. It asks the operating system, because the metric of the Go
// runtime changes only with a garbage collection.
func cpuMillis() int64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	total := usage.Utime.Nano() + usage.Stime.Nano()
	return total / int64(timekeeper.Millis(1).Duration())
}
