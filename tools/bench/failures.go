package main

import (
	"context"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/faker"
)

// nodeReplacer returns a function that kills and replaces one node, the next one on each call.
func (m *configMeasurement) nodeReplacer(fleet *Fleet) func() error {
	next := 1
	return func() error {
		i := next % len(fleet.members)
		next++
		fleet.kill(i)
		return fleet.replace(i)
	}
}

// measureFailures measures convergence with killed nodes, a partitioned data centre and a paused relay.
func (m *configMeasurement) measureFailures(ctx context.Context, fleet *Fleet, size int) error {
	steps := []func(context.Context, *Fleet, int) error{m.measureMassKill, m.measurePartition, m.measurePausedRelay}
	for _, step := range steps {
		if err := step(ctx, fleet, size); err != nil {
			return err
		}
	}
	return nil
}

// measureMassKill kills a fifth of the nodes at once, changes the configuration and restarts the nodes.
func (m *configMeasurement) measureMassKill(ctx context.Context, fleet *Fleet, size int) error {
	killed := size / 5
	for i := range killed {
		fleet.kill(size - 1 - i)
	}
	durations, err := m.measureChange(ctx, fleet, nil)
	if err != nil {
		return err
	}
	m.reportConvergence(systemDesign, "mass-kill", size, durations)
	if err := sleep(ctx, m.scenarioDuration(6000)); err != nil {
		return err
	}
	version := fleet.members[0].node.Follower.ActiveVersion()
	stop, peak := make(chan struct{}), make(chan int, 1)
	go func() { peak <- peakCalls(fleet.Store, stop) }()
	restarted := time.Now()
	for i := range killed {
		if err := fleet.start(size - 1 - i); err != nil {
			return err
		}
	}
	durations = fleet.awaitVersion(version, restarted, convergenceLimit)
	close(stop)
	m.reportConvergence(systemDesign, "mass-return", size, durations)
	m.report.add(systemDesign, "mass-return", size, "platform_calls_peak", float64(<-peak))
	return sleep(ctx, m.scenarioDuration(3000))
}

// measurePartition partitions the last data centre, changes the configuration and ends the partition.
func (m *configMeasurement) measurePartition(ctx context.Context, fleet *Fleet, size int) error {
	zone := fleetZones[len(fleetZones)-1]
	fleet.Topology.Cut(zone, true)
	durations, err := m.measureChange(ctx, fleet, func(member *fleetMember) bool { return member.zone != zone })
	if err != nil {
		return err
	}
	m.reportConvergence(systemDesign, "cut-others", size, durations)
	if err := sleep(ctx, m.scenarioDuration(8000)); err != nil {
		return err
	}
	version := fleet.members[0].node.Follower.ActiveVersion()
	healed := time.Now()
	fleet.Topology.Cut(zone, false)
	m.reportConvergence(systemDesign, "cut-healed", size, fleet.awaitVersion(version, healed, convergenceLimit))
	return sleep(ctx, m.scenarioDuration(3000))
}

// measurePausedRelay pauses the traffic of a relay in the second data centre while a version is distributed.
func (m *configMeasurement) measurePausedRelay(ctx context.Context, fleet *Fleet, size int) error {
	relays := fleet.members[1].node.Tracker.Relays(fleetZones[1])
	if len(relays) == 0 {
		return nil
	}
	name := relays[0].Name
	fleet.Topology.Pause(name, true)
	durations, err := m.measureChange(ctx, fleet, func(member *fleetMember) bool { return member.name != name })
	if err != nil {
		return err
	}
	m.reportConvergence(systemDesign, "paused-relay", size, durations)
	version := fleet.members[0].node.Follower.ActiveVersion()
	resumed := time.Now()
	fleet.Topology.Pause(name, false)
	m.reportConvergence(systemDesign, "paused-healed", size, fleet.awaitVersion(version, resumed, convergenceLimit))
	return nil
}

// measureOutage makes the platform refuse calls, restarts nodes meanwhile and changes the configuration afterwards.
func (m *configMeasurement) measureOutage(ctx context.Context, fleet *Fleet, size int) error {
	version := fleet.members[0].node.Follower.ActiveVersion()
	fleet.Store.SetFault(func(faker.Operation) faker.Fault { return faker.Fault{Refuse: true} })
	duration := time.Minute
	if m.quick {
		duration = 8 * time.Second
	}
	outageStart := time.Now()
	if err := sleep(ctx, duration/6); err != nil {
		return err
	}
	restarted := time.Now()
	for i := range max(size/20, 1) {
		fleet.kill(size - 1 - i)
		if err := fleet.start(size - 1 - i); err != nil {
			return err
		}
	}
	durations := fleet.awaitVersion(version, restarted, convergenceLimit)
	m.reportConvergence(systemDesign, "outage-restarts", size, durations)
	if err := sleep(ctx, duration-time.Since(outageStart)); err != nil {
		return err
	}
	stop, peak := make(chan struct{}), make(chan int, 1)
	go func() { peak <- peakCalls(fleet.Store, stop) }()
	fleet.Store.SetFault(nil)
	healed := time.Now()
	durations, err := m.measureChange(ctx, fleet, nil)
	if err != nil {
		return err
	}
	accepted := fleet.Heads.lastChange().Sub(healed)
	m.report.add(systemDesign, "outage-healed", size, "accepted_after_ms", float64(accepted.Milliseconds()))
	m.reportConvergence(systemDesign, "outage-healed", size, durations)
	if err := sleep(ctx, m.scenarioDuration(3000)); err != nil {
		return err
	}
	close(stop)
	m.report.add(systemDesign, "outage-healed", size, "platform_calls_peak", float64(<-peak))
	return nil
}
