package main

import (
	"context"
	"fmt"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/baseliner"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// measureNaive measures the naive system, in which each node reads all sources from the platform after each change.
func (m *configMeasurement) measureNaive(parent context.Context, size int) error {
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	fleet, err := newFleet(ctx, m.seed, m.port)
	if err != nil {
		return err
	}
	defer fleet.close()
	for _, edit := range fleetSources(max(4, size/10)) {
		object := connector.Object{Kind: connector.KindSource, Name: edit.Name, Value: []byte(edit.Value)}
		if _, err := fleet.Store.Put(ctx, object); err != nil {
			return err
		}
	}
	followers := make([]*baseliner.Follower, 0, size)
	for i := range size {
		client := connector.NewClient(connector.Options{
			URL: fleet.url, Rate: 100, Burst: 100, Timeout: 5 * timekeeper.Second,
			Dial: fleet.Topology.Dialer(fleetZones[i%len(fleetZones)], fmt.Sprintf("node-%03d", i)),
		})
		follower := baseliner.NewFollower(client)
		followers = append(followers, follower)
		fleet.goroutines.Go(func() { _ = follower.Run(ctx) })
	}
	defer cancel()
	awaitRevision(followers, 1, time.Now())
	before := sampleUsage(fleet.Topology, fleet.Store)
	if err := sleep(ctx, m.scenarioDuration(6000)); err != nil {
		return err
	}
	m.reportUsage(systemNaive, scenarioQuiet, size, before, sampleUsage(fleet.Topology, fleet.Store))
	return m.measureNaiveChanges(ctx, fleet, followers, size)
}

// measureNaiveChanges writes changes to the platform and reports how long the followers take to read each of them.
func (m *configMeasurement) measureNaiveChanges(
	ctx context.Context, fleet *Fleet, followers []*baseliner.Follower, size int,
) error {
	count, pause := 2, 6*time.Second
	if m.quick {
		pause = time.Second
	}
	var durations []float64
	before := sampleUsage(fleet.Topology, fleet.Store)
	for i := range count {
		started := time.Now()
		edit := accountEdit(0, 300+i)
		object, err := fleet.Store.Get(ctx, connector.KindSource, edit.Name)
		if err != nil {
			return err
		}
		object.Value = []byte(edit.Value)
		revision, err := fleet.Store.Put(ctx, object)
		if err != nil {
			return err
		}
		durations = append(durations, awaitRevision(followers, revision, time.Now())...)
		if err := sleep(ctx, pause-time.Since(started)); err != nil {
			return err
		}
	}
	m.reportUsage(systemNaive, scenarioChanges, size, before, sampleUsage(fleet.Topology, fleet.Store))
	m.reportConvergence(systemNaive, scenarioChanges, size, durations)
	return nil
}

// awaitRevision waits until all followers have read a revision and returns the time that each took after start, in ms.
// Followers that take longer than convergenceLimit are recorded with the time at which the wait for them ended.
func awaitRevision(followers []*baseliner.Follower, revision uint64, start time.Time) []float64 {
	var durations []float64
	done := make([]bool, len(followers))
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	for len(durations) < len(followers) {
		<-ticker.C
		elapsed := time.Since(start)
		for i, follower := range followers {
			if !done[i] && (follower.Revision() >= revision || elapsed > convergenceLimit.Duration()) {
				done[i] = true
				durations = append(durations, float64(elapsed.Microseconds())/1000)
			}
		}
	}
	return durations
}

// reportComparisons reports the figures that compare several fleet sizes or both systems.
func (m *configMeasurement) reportComparisons(sizes []int) {
	for _, size := range sizes {
		design := m.metricValue(systemDesign, scenarioChanges, size, "bytes_between")
		naive := m.metricValue(systemNaive, scenarioChanges, size, "bytes_between")
		if naive > 0 {
			m.report.addAtMost(systemDesign, scenarioChanges, size, "bytes_between_ratio", design/naive, betweenTarget)
		}
	}
	first, last := sizes[0], sizes[len(sizes)-1]
	if first == last {
		return
	}
	calls := func(size int) float64 { return m.metricValue(systemDesign, scenarioQuiet, size, metricPlatformCalls) }
	increase := calls(last) - calls(first)
	// Nodes are spread evenly over the 3 data centres, so each data centre gets a third of the added nodes.
	slope := increase / (float64(last-first) / float64(len(fleetZones)))
	m.report.addAtMost(systemDesign, scenarioQuiet, last, "platform_calls_slope", slope, slopeTarget)
}

// metricValue returns a figure that the report already contains, or 0 without it.
func (m *configMeasurement) metricValue(system, scenario string, size int, metric string) float64 {
	for _, row := range m.report.Rows {
		if row.System == system && row.Scenario == scenario && row.Nodes == size && row.Metric == metric {
			return row.Value
		}
	}
	return 0
}
