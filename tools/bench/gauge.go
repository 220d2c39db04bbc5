package main

import (
	"fmt"
	"os"
	"runtime"
	"syscall"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/faker"
)

// reading is the state of the counters of a fleet at one time.
type reading struct {
	at      time.Time
	cpu     time.Duration
	within  int64
	between int64
	calls   int
}

func read(topology *faker.Topology, store *faker.Platform) reading {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	r := reading{
		at: time.Now(), cpu: time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		within: topology.Within(), between: topology.Between(),
	}
	for _, count := range store.Calls() {
		r.calls += count
	}
	return r
}

// gauge reports what a fleet spends while action runs. CPU includes that of the stand-ins in the same process.
func (m *configMeasure) gauge(fleet *Fleet, scenario string, size int, action func() error) {
	stop, peak := make(chan struct{}), make(chan int, 1)
	go func() { peak <- peakCalls(fleet.Store, stop) }()
	before := read(fleet.Topology, fleet.Store)
	_ = action()
	after := read(fleet.Topology, fleet.Store)
	close(stop)
	m.spent(systemDesign, scenario, size, before, after)
	if os.Getenv("BENCH_CALLS") != "" {
		fmt.Fprintln(os.Stderr, scenario, size, fleet.Store.Calls())
	}
	m.report.add(systemDesign, scenario, size, "platform_calls_peak", float64(<-peak))
}

// spent reports the difference between two readings per node and second.
func (m *configMeasure) spent(system, scenario string, size int, before, after reading) {
	seconds := after.at.Sub(before.at).Seconds()
	per := seconds * float64(size)
	within := float64(after.within-before.within) / per
	between := float64(after.between-before.between) / per
	cpu := (after.cpu - before.cpu).Seconds() / per
	m.report.add(system, scenario, size, "bytes_within", within)
	m.report.add(system, scenario, size, "bytes_between", between)
	m.report.add(system, scenario, size, "platform_calls", float64(after.calls-before.calls)/seconds)
	if system == systemDesign && scenario == "changes" {
		m.report.atMost(system, scenario, size, "bytes_total", within+between, bytesTarget)
		m.report.atMost(system, scenario, size, "cpu_share", cpu, cpuTarget)
	} else {
		m.report.add(system, scenario, size, "cpu_share", cpu)
	}
	if scenario == "quiet" {
		runtime.GC()
		var memory runtime.MemStats
		runtime.ReadMemStats(&memory)
		m.memory(system, size, float64(memory.HeapAlloc+memory.StackInuse)/float64(size)/(1<<20))
	}
}

func (m *configMeasure) memory(system string, size int, megabytes float64) {
	if system == systemDesign {
		m.report.atMost(system, "quiet", size, "memory_mb", megabytes, memoryTarget)
		return
	}
	m.report.add(system, "quiet", size, "memory_mb", megabytes)
}

// peakCalls returns the highest number of platform calls in one second until stop is closed.
func peakCalls(store *faker.Platform, stop <-chan struct{}) int {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	total := func() int {
		sum := 0
		for _, count := range store.Calls() {
			sum += count
		}
		return sum
	}
	last, peak := total(), 0
	for {
		select {
		case <-ticker.C:
			now := total()
			last, peak = now, max(peak, now-last)
		case <-stop:
			return peak
		}
	}
}
