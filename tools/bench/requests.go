package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
)

// Targets of the request measurement.
const (
	urgentTarget       = 0.99 // share of urgent requests answered in time in a flood of less urgent ones
	goodputTarget      = 0.95 // goodput in a flood as a share of the goodput at capacity
	addedLatencyTarget = 1.0  // 99th percentile of the latency added by the nodes, in ms, on links without delay
	retriesTarget      = 0.1  // retries as a share of calls
)

func requestsCommand() *cli.Command {
	return &cli.Command{
		Name:  "requests",
		Usage: "measure requests under load and failure",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "quick", Usage: "shorter scenarios, under 60 s"},
			&cli.StringFlag{Name: "out", Value: "out/measure-requests.json"},
			&cli.StringFlag{Name: "sources", Value: "examples"},
			&cli.StringFlag{Name: "system", Usage: "measure only design or naive"},
			&cli.StringFlag{Name: "only", Usage: "run these scenarios, separated by commas"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			m := &requestMeasurement{
				quick: c.Bool("quick"), only: c.String("only"), sources: c.String("sources"), report: &Report{},
			}
			for _, system := range []string{systemDesign, systemNaive} {
				if selected := c.String("system"); selected != "" && selected != system {
					continue
				}
				if err := m.run(ctx, system); err != nil {
					return fmt.Errorf("%s: %w", system, err)
				}
				if err := m.report.write(c.String("out")); err != nil {
					return err
				}
			}
			return m.report.print(os.Stdout)
		},
	}
}

// requestMeasurement runs the request scenarios.
type requestMeasurement struct {
	quick           bool
	only            string
	sources         string
	report          *Report
	capacityGoodput float64 // requests per second that the flooded service answers in time at capacity
}

// scenario is a load, optionally with a flood, a failure or crashing requests.
type scenario struct {
	name        string
	load        float64            // offered load as a share of capacity, except for calls in flood
	flood       map[string]float64 // offered load by call, as a share of the capacity of its service
	noDelay     bool               // links without delay
	fullOnly    bool               // skipped in the quick run
	injectFault func(ctx context.Context, m *Mesh) error
	header      http.Header // header of an extra stream of requests that crash the upstream, nil for none
}

// scenarios lists the scenarios of each system. The floods follow load-1.0, because their goodput is compared with the
// goodput measured there. They flood calls of the example template: stock is the most urgent, pricing the least urgent.
var scenarios = []scenario{
	{name: "load-0.7-near", load: 0.7, noDelay: true},
	{name: "load-0.7", load: 0.7, fullOnly: true},
	{name: "load-0.9", load: 0.9, fullOnly: true},
	{name: "load-1.0", load: 1.0},
	{name: "load-1.3", load: 1.3, fullOnly: true},
	{name: "flood-low-3", load: 0.7, flood: map[string]float64{"pricing": 3}, fullOnly: true},
	{name: "flood-low-10", load: 0.7, flood: map[string]float64{"pricing": 10}},
	{name: "flood-urgent-10", load: 0.7, flood: map[string]float64{"stock": 10}},
	{name: "kill-third", load: 0.7, injectFault: killThirdOfUpstreams},
	{name: "stop-third", load: 0.7, injectFault: stopThirdOfNodes},
	{name: "silent", load: 0.7, injectFault: silenceConnections},
	{name: "crash", load: 0.7, header: http.Header{crashHeader: {"1"}}},
	{name: "outage", load: 0.7, injectFault: platformOutage, fullOnly: true},
}

// run measures a system on two meshes: first the scenarios without link delay, then the others.
func (m *requestMeasurement) run(ctx context.Context, system string) error {
	for _, noDelay := range []bool{true, false} {
		links := faker.TopologyOptions{Delay: 4, Jitter: 1, Loss: 0.0005, Seed: 1}
		if noDelay {
			links = faker.TopologyOptions{}
		}
		if err := m.runAll(ctx, system, links, noDelay); err != nil {
			return err
		}
	}
	return nil
}

// runAll runs the selected scenarios with or without link delay on one mesh.
func (m *requestMeasurement) runAll(
	ctx context.Context, system string, links faker.TopologyOptions, noDelay bool,
) error {
	var selected []*scenario
	for i := range scenarios {
		s := &scenarios[i]
		if s.noDelay == noDelay &&
			(m.only == "" && (!m.quick || !s.fullOnly) || slices.Contains(strings.Split(m.only, ","), s.name)) {
			selected = append(selected, s)
		}
	}
	if len(selected) == 0 {
		return nil
	}
	mesh, err := newMesh(ctx, system, m.sources, links)
	if err != nil {
		return err
	}
	defer mesh.close()
	for _, s := range selected {
		fmt.Fprintf(os.Stderr, "%s %s\n", system, s.name)
		if err := m.measure(ctx, mesh, system, s); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

// measure runs one scenario and reports its figures, then restarts the processes that the scenario stopped.
func (m *requestMeasurement) measure(ctx context.Context, mesh *Mesh, system string, s *scenario) error {
	duration := 7 * time.Second
	if m.quick {
		duration = 4 * time.Second
	}
	generator := newLoadGenerator(callerAddresses(mesh.layout.Instances), meshInternal)
	targets := listTargets(&mesh.view)
	if err := generator.warmUp(ctx, targets, warmUpTimeout); err != nil {
		return err
	}
	sendCtx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	var senders sync.WaitGroup
	for i := range targets {
		rate := targetRate(&mesh.view, targets, &targets[i], s)
		senders.Go(func() { generator.run(sendCtx, &targets[i], rate, http.Header{}) })
	}
	crashing := &Target{}
	if s.header != nil {
		*crashing = targets[0]
		crashing.Call += "-crashing"
		// The proxy recognises crashing requests by method, path, query and body. Without the extra query, it could also
		// refuse the ordinary requests of the same kind.
		crashing.Path += "?item=crash"
		senders.Go(func() { generator.run(sendCtx, crashing, 2, s.header) })
		mesh.supervise(sendCtx)
	}
	if s.injectFault != nil {
		if err := sleep(ctx, duration/4); err != nil {
			return err
		}
		if err := s.injectFault(sendCtx, mesh); err != nil {
			return err
		}
	}
	senders.Wait()
	generator.waitInFlight()
	cancel()
	m.reportScenario(system, s, generator.Tally, targets, mesh.recorder.counts(), duration)
	return mesh.restore(ctx, system)
}

// targetRate returns the calls per second of a target. The kinds of call of a service share its offered load evenly,
// except those in flood.
func targetRate(view *compiler.View, targets []Target, target *Target, s *scenario) float64 {
	share := s.load
	if floodShare, ok := s.flood[target.Call]; ok {
		share = floodShare
	}
	kinds, sameCall := 0, 0
	for i := range targets {
		if targets[i].Service == target.Service {
			kinds++
			if targets[i].Call == target.Call {
				sameCall++
			}
		}
	}
	if _, ok := s.flood[target.Call]; ok {
		return serviceCapacity(view, target.Service) * share / float64(sameCall)
	}
	return serviceCapacity(view, target.Service) * share / float64(kinds)
}

// serviceCapacity returns the requests per second that all upstreams of a service can run together.
func serviceCapacity(view *compiler.View, service string) float64 {
	servers := 0
	for _, group := range serviceGroups {
		if group.service == service {
			servers += group.servers
		}
	}
	return float64(servers*view.Service(service).Slots) * 1000 / meanWork
}

// killThirdOfUpstreams kills every third upstream.
func killThirdOfUpstreams(_ context.Context, m *Mesh) error {
	for i := 0; i < len(m.upstreams); i += 3 {
		m.upstreams[i].Signal(syscall.SIGKILL)
		m.stopped = append(m.stopped, m.upstreams[i])
	}
	return nil
}

// stopThirdOfNodes starts a planned stop of every third node.
func stopThirdOfNodes(_ context.Context, m *Mesh) error {
	for i := 0; i < len(m.nodes); i += 3 {
		m.nodes[i].Signal(syscall.SIGTERM)
		m.stopped = append(m.stopped, m.nodes[i])
	}
	return nil
}

// silenceConnections makes the open connections of all nodes stop carrying data.
func silenceConnections(_ context.Context, m *Mesh) error {
	for _, p := range m.nodes {
		p.Signal(syscall.SIGUSR1)
	}
	return nil
}

// platformOutage makes the platform refuse calls until the end of the scenario.
func platformOutage(ctx context.Context, m *Mesh) error {
	url := "http://" + m.layout.Platform + "/control"
	if err := m.post(ctx, url, []byte(`{"Refuse":true}`)); err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = m.post(context.WithoutCancel(ctx), url, []byte(`{}`)) })
	return nil
}
