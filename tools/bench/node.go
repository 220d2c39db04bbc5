package main

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/jasmineproxy/jasmineproxy/internal/baseliner"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/loader"
	"github.com/jasmineproxy/jasmineproxy/internal/router"
	"github.com/jasmineproxy/jasmineproxy/internal/runner"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// naiveAttemptTimeout is the timeout of each attempt of the naive node, in ms.
const naiveAttemptTimeout = 10 * timekeeper.Second

// layout is the content of the layout file, which describes all nodes and links to the processes of a measurement.
type layout struct {
	Instances []Instance              `json:"instances"`
	Platform  string                  `json:"platform"` // address of the platform stand-in
	Links     faker.TopologyOptions   `json:"links"`
	Places    map[string]layoutMember `json:"places"` // by peer address
	Sources   string                  `json:"sources"`
}

// layoutMember is the name and the data centre of the member at an address.
type layoutMember struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
}

func readLayout(path string) (*layout, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var l layout
	return &l, json.Unmarshal(content, &l)
}

// topology returns the simulated links of a process. On SIGUSR1 its open connections stop carrying data but stay open.
func (l *layout) topology(ctx context.Context) *faker.Topology {
	topology := faker.NewTopology(l.Links)
	for address, member := range l.Places {
		topology.Register(address, member.Zone, member.Name)
	}
	silence := make(chan os.Signal, 1)
	signal.Notify(silence, syscall.SIGUSR1)
	go func() {
		for {
			select {
			case <-silence:
				topology.Silence()
			case <-ctx.Done():
				return
			}
		}
	}()
	return topology
}

// nodeCommand returns the command that runs a node of jasmineproxy, or a naive one, behind links with delay.
func nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  "node",
		Usage: "run a node behind links with delay",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true},
			&cli.StringFlag{Name: "layout", Required: true},
			&cli.BoolFlag{Name: "naive"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			settings, err := loader.Load(loader.Sources{File: c.String("settings")})
			if err != nil {
				return err
			}
			l, err := readLayout(c.String("layout"))
			if err != nil {
				return err
			}
			dial := l.topology(ctx).Dialer(settings.Zone, settings.Name)
			if c.Bool(systemNaive) {
				return runNaive(ctx, settings, l, dial)
			}
			node, err := runner.New(settings, runner.Dependencies{Clock: timekeeper.System(), Dial: dial, Log: os.Stderr})
			if err != nil {
				return err
			}
			return node.Run(ctx)
		},
	}
}

// runNaive runs the naive proxy at the addresses in the settings.
func runNaive(ctx context.Context, settings loader.Settings, l *layout, dial runner.Dial) error {
	view, err := readView(l.Sources)
	if err != nil {
		return err
	}
	slots := settings.Slots
	if service := view.Service(settings.Service); slots == 0 && service != nil {
		slots = service.Slots
	}
	peers := make(map[string][]string)
	for _, instance := range l.Instances {
		peers[instance.Service] = append(peers[instance.Service], instance.Peer)
	}
	var matcher router.Matcher
	proxy := baseliner.NewProxy(baseliner.ProxyOptions{
		Upstream: settings.Upstream.Address, Slots: slots, Peers: peers, Dial: dial, Timeout: naiveAttemptTimeout,
		Service: func(host, method, path string) string {
			route, err := matcher.Match(&view, host, method, path)
			if err != nil {
				return ""
			}
			return route.Call.Service
		},
	})
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serve(ctx, settings.Caller, proxy.Entry()) })
	group.Go(func() error { return serve(ctx, settings.Peer, proxy.Host()) })
	group.Go(func() error { return serve(ctx, settings.Admin, http.NotFoundHandler()) })
	return group.Wait()
}
