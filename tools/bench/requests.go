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

// Stated targets of the request measurement.
const (
	urgentTarget  = 0.99 // share of urgent work within its target in a flood of less urgent work
	goodputTarget = 0.95 // goodput in a flood, as a share of that without one
	addedTarget   = 1.0  // ms at the 99th percentile
	retriesTarget = 0.1  // of calls
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
			m := &requestMeasure{quick: c.Bool("quick"), only: c.String("only"), sources: c.String("sources"), report: &Report{}}
			for _, system := range []string{systemDesign, systemNaive} {
				if one := c.String("system"); one != "" && one != system {
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

// requestMeasure runs the request scenarios.
type requestMeasure struct {
	quick   bool
	only    string
	sources string
	report  *Report
	base    float64 // goodput in the flooded service at capacity
}

// scenario is one load with one disturbance.
type scenario struct {
	name    string
	level   float64            // offered load as a share of capacity, where flood says nothing else
	flood   map[string]float64 // share of its service's capacity that a kind of call offers, by call
	near    bool               // links without delay
	long    bool               // left out of the quick run
	disturb func(ctx context.Context, m *Mesh) error
	header  http.Header // of an extra stream of crashing requests
}

var scenarios = []scenario{
	{name: "load-0.7-near", level: 0.7, near: true},
	{name: "load-0.7", level: 0.7, long: true},
	{name: "load-0.9", level: 0.9, long: true},
	{name: "load-1.0", level: 1.0},
	{name: "load-1.3", level: 1.3, long: true},
	{name: "flood-low-3", level: 0.7, flood: map[string]float64{"pricing": 3}, long: true},
	{name: "flood-low-10", level: 0.7, flood: map[string]float64{"pricing": 10}},
	{name: "flood-urgent-10", level: 0.7, flood: map[string]float64{"stock": 10}},
	{name: "kill-third", level: 0.7, disturb: killThird},
	{name: "stop-third", level: 0.7, disturb: stopThird},
	{name: "silent", level: 0.7, disturb: silence},
	{name: "crash", level: 0.7, header: http.Header{crashHeader: {"1"}}},
	{name: "outage", level: 0.7, disturb: platformOutage, long: true},
}

func (m *requestMeasure) run(ctx context.Context, system string) error {
	for _, near := range []bool{true, false} {
		links := faker.TopologyOptions{Delay: 4, Jitter: 1, Loss: 0.0005, Seed: 1}
		if near {
			links = faker.TopologyOptions{}
		}
		if err := m.runAll(ctx, system, links, near); err != nil {
			return err
		}
	}
	return nil
}

// runAll runs the scenarios that belong to one kind of links on one mesh.
func (m *requestMeasure) runAll(ctx context.Context, system string, links faker.TopologyOptions, near bool) error {
	var chosen []*scenario
	for i := range scenarios {
		s := &scenarios[i]
		if s.near == near && (m.only == "" && (!m.quick || !s.long) || slices.Contains(strings.Split(m.only, ","), s.name)) {
			chosen = append(chosen, s)
		}
	}
	if len(chosen) == 0 {
		return nil
	}
	mesh, err := newMesh(ctx, system, m.sources, links)
	if err != nil {
		return err
	}
	defer mesh.close()
	for _, s := range chosen {
		fmt.Fprintf(os.Stderr, "%s %s\n", system, s.name)
		if err := m.measure(ctx, mesh, system, s); err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
	}
	return nil
}

func (m *requestMeasure) measure(ctx context.Context, mesh *Mesh, system string, s *scenario) error {
	span := 7 * time.Second
	if m.quick {
		span = 4 * time.Second
	}
	load := newLoad(entriesOf(mesh.layout.Instances), meshInternal)
	targets := targetsOf(&mesh.view)
	if err := load.warm(ctx, targets, warmLimit); err != nil {
		return err
	}
	sending, cancel := context.WithTimeout(ctx, span)
	defer cancel()
	var work sync.WaitGroup
	for i := range targets {
		rate := rateOf(&mesh.view, targets, &targets[i], s)
		work.Go(func() { load.run(sending, &targets[i], rate, http.Header{}) })
	}
	bad := &Target{}
	if s.header != nil {
		*bad = targets[0]
		bad.Call += "-crashing"
		// A request is known by method, path, query and body, so that one must differ from the harmless ones.
		bad.Path += "?item=crash"
		work.Go(func() { load.run(sending, bad, 2, s.header) })
		mesh.supervise(sending)
	}
	if s.disturb != nil {
		if err := wait(ctx, span/4); err != nil {
			return err
		}
		if err := s.disturb(sending, mesh); err != nil {
			return err
		}
	}
	work.Wait()
	load.wait()
	cancel()
	m.reportScenario(system, s, load.Tally, targets, mesh.recorder.counts(), span)
	return mesh.restore(ctx, system)
}

// rateOf returns the calls per second of a target: the kinds of call of a service share its offered load evenly,
// except those that flood.
func rateOf(view *compiler.View, targets []Target, target *Target, s *scenario) float64 {
	share := s.level
	if flood, ok := s.flood[target.Call]; ok {
		share = flood
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
		return capacityOf(view, target.Service) * share / float64(sameCall)
	}
	return capacityOf(view, target.Service) * share / float64(kinds)
}

// capacityOf returns the runs per second that all upstreams of a service can make.
func capacityOf(view *compiler.View, service string) float64 {
	servers := 0
	for _, group := range tenantServers {
		if group.service == service {
			servers += group.servers
		}
	}
	return float64(servers*view.Service(service).Slots) * 1000 / meanWork
}

// killThird ends every third upstream without warning.
func killThird(_ context.Context, m *Mesh) error {
	for i := 0; i < len(m.upstreams); i += 3 {
		m.upstreams[i].Signal(syscall.SIGKILL)
		m.stopping = append(m.stopping, m.upstreams[i])
	}
	return nil
}

// stopThird ends every third node in a planned way.
func stopThird(_ context.Context, m *Mesh) error {
	for i := 0; i < len(m.nodes); i += 3 {
		m.nodes[i].Signal(syscall.SIGTERM)
		m.stopping = append(m.stopping, m.nodes[i])
	}
	return nil
}

// silence makes the open connections between all nodes go silent.
func silence(_ context.Context, m *Mesh) error {
	for _, p := range m.nodes {
		p.Signal(syscall.SIGUSR1)
	}
	return nil
}

// platformOutage takes the platform down until the end of the scenario.
func platformOutage(ctx context.Context, m *Mesh) error {
	url := "http://" + m.layout.Platform + "/control"
	if err := m.post(ctx, url, []byte(`{"Refuse":true}`)); err != nil {
		return err
	}
	context.AfterFunc(ctx, func() { _ = m.post(context.WithoutCancel(ctx), url, []byte(`{}`)) })
	return nil
}
