package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

// warmUpTimeout limits the time until each kind of call is answered reliably.
const warmUpTimeout = 30 * time.Second

// Instance is a node with its upstream, in the format of the --instances file.
type Instance struct {
	Name     string `json:"name"`
	Service  string `json:"service"`
	Zone     string `json:"zone"`
	Caller   string `json:"caller"`
	Peer     string `json:"peer"`
	Admin    string `json:"admin"`
	Upstream string `json:"upstream"`
}

// callerCommand returns the command that sends calls of every kind through the nodes in a file and checks the results.
func callerCommand() *cli.Command {
	return &cli.Command{
		Name:  "caller",
		Usage: "send calls of every kind and check how they end",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "instances", Usage: "JSON file with the nodes and upstreams", Required: true},
			&cli.StringFlag{Name: "sources", Value: "examples", Usage: "directory with templates and client accounts"},
			&cli.StringFlag{Name: "internal", Usage: "secret of internal calls"},
			&cli.FloatFlag{Name: "rate", Value: 20, Usage: "calls per second of each kind"},
			&cli.DurationFlag{Name: "span", Value: 20 * time.Second},
		},
		Action: runCaller,
	}
}

func runCaller(ctx context.Context, c *cli.Command) error {
	content, err := os.ReadFile(c.String("instances"))
	if err != nil {
		return err
	}
	var instances []Instance
	if err := json.Unmarshal(content, &instances); err != nil {
		return err
	}
	view, err := readView(c.String("sources"))
	if err != nil {
		return err
	}
	generator := newLoadGenerator(callerAddresses(instances), c.String("internal"))
	targets := listTargets(&view)
	if err := generator.warmUp(ctx, targets, warmUpTimeout); err != nil {
		return err
	}
	fmt.Println("sending calls")
	sendCtx, cancel := context.WithTimeout(ctx, c.Duration("span"))
	defer cancel()
	var senders sync.WaitGroup
	for i := range targets {
		senders.Go(func() { generator.run(sendCtx, &targets[i], c.Float("rate"), http.Header{}) })
	}
	senders.Wait()
	generator.waitInFlight()
	runs, err := collectRuns(ctx, upstreamAddresses(instances))
	if err != nil {
		return err
	}
	return printCalls(generator.Tally, targets, runs)
}

func callerAddresses(instances []Instance) map[string][]string {
	addresses := make(map[string][]string)
	for _, instance := range instances {
		addresses[instance.Service] = append(addresses[instance.Service], instance.Caller)
	}
	return addresses
}

func upstreamAddresses(instances []Instance) []string {
	addresses := make([]string, 0, len(instances))
	for _, instance := range instances {
		addresses = append(addresses, instance.Upstream)
	}
	return addresses
}

// printCalls prints the results of each kind of call. It returns an error if a request broke a guarantee or if fewer
// than 95% of the calls of a kind were answered.
func printCalls(tally *Tally, targets []Target, runs map[string]int) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table,
		"call\tsent\tanswered\tin time\tnot run\tunknown\tmixed up\tp50 added ms\tp99 added ms\tcodes\tholds")
	var failed []string
	for i := range targets {
		key := targets[i].key()
		summary := tally.summarize(func(t *Target) bool { return t.key() == key })
		// Calls in flight on a killed node fail; nearly all others must be answered.
		passed := summary.MixedUp == 0 && summary.Sent > 0 && float64(summary.Answered) >= 0.95*float64(summary.Sent)
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.2f\t%.2f\t%s\t%v\n", key, summary.Sent, summary.Answered,
			summary.InTime, summary.NotRun, summary.Unknown, summary.MixedUp,
			float64(summary.Added.ValueAtQuantile(50))/1000, float64(summary.Added.ValueAtQuantile(99))/1000,
			formatCodes(summary.Codes), passed)
		if !passed {
			failed = append(failed, key)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	violations := tally.verify(runs)
	fmt.Printf("ran twice %d, refused but ran %d, answered but not run %d\n",
		violations.RanTwice, violations.NotRunButRan, violations.AnsweredNotRun)
	if violations != (Violations{}) {
		failed = append(failed, "promises")
	}
	if len(failed) > 0 {
		return fmt.Errorf("failed checks: %s", strings.Join(failed, ", "))
	}
	return nil
}

func formatCodes(codes map[string]int) string {
	parts := make([]string, 0, len(codes))
	for code, count := range codes {
		parts = append(parts, fmt.Sprintf("%s:%d", code, count))
	}
	sort.Strings(parts)
	return strings.Join(parts, " ")
}
