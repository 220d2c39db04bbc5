package main

import (
	"runtime"
	"syscall"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/faker"
)

// usageSample holds the resource counters of a fleet at one time.
type usageSample struct {
	takenAt      time.Time
	cpu          time.Duration // CPU time of the process so far
	bytesWithin  int64         // sent so far inside data centres
	bytesBetween int64         // sent so far between data centres
	calls        int           // platform calls so far
}

// sampleUsage reads the resource counters now.
func sampleUsage(topology *faker.Topology, store *faker.Platform) usageSample {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	r := usageSample{
		takenAt: time.Now(), cpu: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		bytesWithin: topology.Within(), bytesBetween: topology.Between(),
	}
	for _, count := range store.Calls() {
		r.calls += count
	}
	return r
}

// measureUsage reports the resources that a fleet uses while action runs. The CPU time includes that of the stand-ins,
// which run in the same process.
func (m *configMeasurement) measureUsage(fleet *Fleet, scenario string, size int, action func() error) {
	stop, peak := make(chan struct{}), make(chan int, 1)
	go func() { peak <- peakCalls(fleet.Store, stop) }()
	before := sampleUsage(fleet.Topology, fleet.Store)
	_ = action()
	after := sampleUsage(fleet.Topology, fleet.Store)
	close(stop)
	m.reportUsage(systemDesign, scenario, size, before, after)
	m.report.add(systemDesign, scenario, size, "platform_calls_peak", float64(<-peak))
}

// reportUsage reports the resources used between two samples: bytes and CPU time per node and second, and platform
// calls per second. In the quiet scenario it also reports the current memory per node.
func (m *configMeasurement) reportUsage(system, scenario string, size int, before, after usageSample) {
	seconds := after.takenAt.Sub(before.takenAt).Seconds()
	nodeSeconds := seconds * float64(size)
	within := float64(after.bytesWithin-before.bytesWithin) / nodeSeconds
	between := float64(after.bytesBetween-before.bytesBetween) / nodeSeconds
	cpu := (after.cpu - before.cpu).Seconds() / nodeSeconds
	m.report.add(system, scenario, size, "bytes_within", within)
	m.report.add(system, scenario, size, "bytes_between", between)
	m.report.add(system, scenario, size, metricPlatformCalls, float64(after.calls-before.calls)/seconds)
	if system == systemDesign && scenario == scenarioChanges {
		m.report.addAtMost(system, scenario, size, "bytes_total", within+between, bytesTarget)
		m.report.addAtMost(system, scenario, size, "cpu_share", cpu, cpuTarget)
	} else {
		m.report.add(system, scenario, size, "cpu_share", cpu)
	}
	if scenario == scenarioQuiet {
		runtime.GC()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		m.reportMemory(system, size, float64(memory.HeapAlloc+memory.StackInuse)/float64(size)/(1<<20))
	}
}

func (m *configMeasurement) reportMemory(system string, size int, megabytes float64) {
	if system == systemDesign {
		m.report.addAtMost(system, scenarioQuiet, size, "memory_mb", megabytes, memoryTarget)
		return
	}
	m.report.add(system, scenarioQuiet, size, "memory_mb", megabytes)
}

// peakCalls returns the highest number of platform calls in any one second until stop is closed.
func peakCalls(store *faker.Platform, stop <-chan struct{}) int {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	total := func() int {
		calls := 0
		for _, count := range store.Calls() {
			calls += count
		}
		return calls
	}
	previous, peak := total(), 0
	for {
		select {
		case <-ticker.C:
			current := total()
			previous, peak = current, max(peak, current-previous)
		case <-stop:
			return peak
		}
	}
}
