package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Targets of the configuration measurement.
const (
	convergenceTarget = 3000  // ms
	bytesTarget       = 29000 // bytes per node and second
	cpuTarget         = 0.022 // share of a core per node
	memoryTarget      = 256   // MB per node
	slopeTarget       = 0.02  // platform calls per second and node of a data centre
	betweenTarget     = 0.1   // bytes between data centres as a share of the naive system's
)

// convergenceLimit is the time after which a measurement stops waiting for a node to converge.
const convergenceLimit = 20 * timekeeper.Second

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "measure the distribution of configuration",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "quick", Usage: "fewer sizes and shorter scenarios, under 60 s"},
			&cli.StringFlag{Name: "out", Value: "out/measure-config.json"},
			&cli.UintFlag{Name: "seed", Value: 1},
			&cli.IntSliceFlag{Name: "sizes", Usage: "numbers of nodes to measure; the last one takes all failures"},
			&cli.IntFlag{Name: "port", Value: firstPort, Usage: "first port to use"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			m := &configMeasurement{
				quick: c.Bool("quick"), seed: uint64(c.Uint("seed")), sizes: c.IntSlice("sizes"), port: c.Int("port"),
				report: &Report{},
			}
			if err := m.run(ctx); err != nil {
				return err
			}
			if err := m.report.print(os.Stdout); err != nil {
				return err
			}
			return m.report.write(c.String("out"))
		},
	}
}

// configMeasurement runs the configuration scenarios at all fleet sizes.
type configMeasurement struct {
	quick       bool
	seed        uint64
	sizes       []int
	port        int
	report      *Report
	changeCount int // changes submitted so far; makes each change different
}

func (m *configMeasurement) run(ctx context.Context) error {
	sizes := []int{12, 25, 50, 100, 200}
	if m.quick {
		sizes = []int{12, 25}
	}
	if len(m.sizes) > 0 {
		sizes = m.sizes
	}
	last := sizes[len(sizes)-1]
	for _, size := range sizes {
		fmt.Fprintf(os.Stderr, "measuring %d nodes\n", size)
		if err := m.measureDesign(ctx, size, size == last || size == 50, size == last); err != nil {
			return fmt.Errorf("design at %d nodes: %w", size, err)
		}
		if err := m.measureNaive(ctx, size); err != nil {
			return fmt.Errorf("naive at %d nodes: %w", size, err)
		}
	}
	m.reportComparisons(sizes)
	return nil
}

// scenarioDuration returns full, or a third of it in the quick run.
func (m *configMeasurement) scenarioDuration(full timekeeper.Millis) time.Duration {
	if m.quick {
		return (full / 3).Duration()
	}
	return full.Duration()
}

func (m *configMeasurement) measureDesign(ctx context.Context, size int, failures, outage bool) error {
	fleet, err := newFleet(ctx, m.seed, m.port)
	if err != nil {
		return err
	}
	defer fleet.close()
	if err := m.measureColdStart(ctx, fleet, size); err != nil {
		return err
	}
	m.measureUsage(fleet, scenarioQuiet, size, func() error { return sleep(ctx, m.scenarioDuration(9000)) })
	if err := m.measureChanges(ctx, fleet, scenarioChanges, size, nil); err != nil {
		return err
	}
	if err := m.measureChanges(ctx, fleet, "churn", size, m.nodeReplacer(fleet)); err != nil {
		return err
	}
	if failures {
		if err := m.measureFailures(ctx, fleet, size); err != nil {
			return err
		}
	}
	if outage {
		return m.measureOutage(ctx, fleet, size)
	}
	return nil
}

// measureColdStart starts all nodes at once, publishes the first version and reports when the last node is ready.
func (m *configMeasurement) measureColdStart(ctx context.Context, fleet *Fleet, size int) error {
	started := time.Now()
	if err := fleet.grow(size); err != nil {
		return err
	}
	var version uint64
	err := m.retry(ctx, func() (err error) {
		version, err = fleet.submit(ctx, fleetSources(max(4, size/10)))
		return err
	})
	if err != nil {
		return err
	}
	durations := fleet.awaitVersion(version, started, 3*convergenceLimit)
	m.report.add(systemDesign, "cold-start", size, "ready_max_ms", slices.Max(durations))
	return nil
}

// measureChanges submits 10 changes per minute and reports how long each takes to become active on the nodes. It calls
// beforeChange, if not nil, before each change.
func (m *configMeasurement) measureChanges(
	ctx context.Context, fleet *Fleet, scenario string, size int, beforeChange func() error,
) error {
	count, pause := 3, 6*time.Second
	if m.quick {
		count, pause = 2, time.Second
	}
	var durations, worst []float64
	var failure error
	m.measureUsage(fleet, scenario, size, func() error {
		for range count {
			started := time.Now()
			if beforeChange != nil {
				failure = beforeChange()
			}
			latest, err := m.measureChange(ctx, fleet, nil)
			if err != nil {
				failure = err
				return err
			}
			durations, worst = append(durations, latest...), append(worst, slices.Max(latest))
			if err := sleep(ctx, pause-time.Since(started)); err != nil {
				return err
			}
		}
		return nil
	})
	if failure != nil {
		return failure
	}
	m.reportConvergence(systemDesign, scenario, size, durations)
	return nil
}

// measureChange submits one change through the first member and returns the convergence times, in ms, of the members
// that match.
func (m *configMeasurement) measureChange(
	ctx context.Context, fleet *Fleet, match func(*fleetMember) bool,
) ([]float64, error) {
	before := fleet.members[0].node.Follower.ActiveVersion()
	watch := fleet.watchVersion(before+1, 2*convergenceLimit, match)
	err := m.retry(ctx, func() error {
		_, err := m.submitChange(ctx, fleet)
		return err
	})
	if err != nil {
		return nil, err
	}
	return watch.durationsSince(fleet.Heads.lastChange()), nil
}

func (m *configMeasurement) submitChange(ctx context.Context, fleet *Fleet) (uint64, error) {
	edit := accountEdit(0, 100+m.changeCount)
	sources, err := fleet.members[0].node.Publisher.Sources(ctx)
	if err != nil {
		return 0, err
	}
	for _, source := range sources {
		if source.Name == edit.Name {
			edit.Base = source.Revision
		}
	}
	m.changeCount++
	return fleet.submit(ctx, []publisher.Edit{edit})
}

// reportConvergence reports quantiles of convergence times in ms.
func (m *configMeasurement) reportConvergence(system, scenario string, size int, durations []float64) {
	slices.Sort(durations)
	m.report.add(system, scenario, size, "convergence_p50_ms", quantile(durations, 0.5))
	m.report.add(system, scenario, size, "convergence_p99_ms", quantile(durations, 0.99))
	if system == systemDesign {
		m.report.addAtMost(system, scenario, size, "convergence_max_ms", quantile(durations, 1), convergenceTarget)
		return
	}
	m.report.add(system, scenario, size, "convergence_max_ms", quantile(durations, 1))
}

// retry repeats an action until it succeeds or convergenceLimit has passed. A fleet may refuse changes right after its
// start or after a failure.
func (m *configMeasurement) retry(ctx context.Context, action func() error) error {
	deadline := time.Now().Add(convergenceLimit.Duration())
	for {
		attempt, cancel := context.WithTimeout(ctx, convergenceLimit.Duration())
		err := action()
		cancel()
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil || attempt == nil {
			return err
		}
		if err := sleep(ctx, 100*time.Millisecond); err != nil {
			return err
		}
	}
}

func quantile(sorted []float64, fraction float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(fraction*float64(len(sorted))), len(sorted)-1)]
}

func sleep(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
