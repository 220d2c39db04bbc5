package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"os"

	"github.com/urfave/cli/v3"
)

// Size of the system for which the figures are calculated.
const (
	targetNodes        = 3200
	targetZones        = 23 // data centres
	targetNodesPerZone = targetNodes / targetZones
)

// Size of the fleet whose figures are measured.
const (
	measuredZones = 3 // data centres
	relaysPerZone = 2 // relay nodes of each data centre
)

// platformReadLimit is the rate limit of the platform, in read calls per second.
const platformReadLimit = 2000

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "work measured figures out at the target size, as a Markdown table",
		Flags: []cli.Flag{&cli.StringFlag{Name: "config", Value: "out/measure-config.json"}},
		Action: func(_ context.Context, c *cli.Command) error {
			content, err := os.ReadFile(c.String("config"))
			if err != nil {
				return err
			}
			var report Report
			if err := json.Unmarshal(content, &report); err != nil {
				return err
			}
			return writeCapacity(os.Stdout, &report)
		},
	}
}

// line is a least-squares fit y = intercept + slope*x. The residual is the root mean square of the differences
// between the measured values and the line.
type line struct {
	intercept, slope, residual float64
}

// fit returns the line that fits the points best.
func fit(xs, ys []float64) line {
	var sumX, sumY, sumXX, sumXY float64
	count := float64(len(xs))
	for i, x := range xs {
		sumX, sumY, sumXX, sumXY = sumX+x, sumY+ys[i], sumXX+x*x, sumXY+x*ys[i]
	}
	var l line
	if spread := count*sumXX - sumX*sumX; spread > 0 {
		l.slope = (count*sumXY - sumX*sumY) / spread
	}
	l.intercept = (sumY - l.slope*sumX) / count
	for i, x := range xs {
		difference := ys[i] - l.intercept - l.slope*x
		l.residual += difference * difference / count
	}
	l.residual = math.Sqrt(l.residual)
	return l
}

// at returns the value of the line at x.
func (l line) at(x float64) float64 {
	return l.intercept + l.slope*x
}

// estimate describes how a figure at the target size is extrapolated from measured values.
type estimate struct {
	name, scenario, metric string
	scale                  func(nodes, value float64) float64 // converts a measured value to the fitted one
	variable               func(nodes float64) float64        // the variable that the fitted value depends on
	targetValue            float64                            // the variable at the target size
	formula                string
	limit                  float64 // 0 if the figure has no limit
}

// estimates returns the estimates for all figures. The measurement makes 10 changes per minute, 4 times as many as the
// target, so figures with changes are upper bounds.
func estimates() []estimate {
	unscaled := func(_, value float64) float64 { return value }
	perZone := func(nodes float64) float64 { return nodes / measuredZones }
	allNodes := func(nodes float64) float64 { return nodes }
	perRelay := func(nodes, value float64) float64 { return value * nodes / (measuredZones * relaysPerZone) }
	return []estimate{
		{
			"node: bytes/s inside the data centre", scenarioChanges, "bytes_within", unscaled, perZone, targetNodesPerZone,
			"a + b · nodes per data centre", bytesTarget,
		},
		{
			"relaying node: bytes/s between data centres", scenarioChanges, "bytes_between", perRelay, allNodes, targetNodes,
			"a + b · nodes, bytes between data centres over 6 relays", bytesTarget,
		},
		{
			"node: share of a core, quiet", scenarioQuiet, "cpu_share", unscaled, perZone, targetNodesPerZone,
			"a + b · nodes per data centre", cpuTarget,
		},
		{
			"node: share of a core, changes", scenarioChanges, "cpu_share", unscaled, perZone, targetNodesPerZone,
			"a + b · nodes per data centre", cpuTarget,
		},
		{"node: memory in MB", scenarioQuiet, "memory_mb", unscaled, allNodes, targetNodes, "a + b · nodes", memoryTarget},
		{
			"platform: calls/s of one data centre, quiet", scenarioQuiet, metricPlatformCalls,
			func(_, value float64) float64 { return value / measuredZones }, perZone, targetNodesPerZone,
			"a + b · nodes per data centre", 0,
		},
		{
			"platform: calls/s, quiet", scenarioQuiet, metricPlatformCalls,
			func(_, value float64) float64 { return value / measuredZones * targetZones }, perZone, targetNodesPerZone,
			"23 · (a + b · nodes per data centre)", platformReadLimit,
		},
		{
			"platform: calls/s, changes", scenarioChanges, metricPlatformCalls,
			func(_, value float64) float64 { return value / measuredZones * targetZones }, perZone, targetNodesPerZone,
			"23 · (a + b · nodes per data centre)", platformReadLimit,
		},
	}
}

// writeCapacity fits each estimate to the measured values in the report and writes a Markdown table of the results.
func writeCapacity(out io.Writer, report *Report) error {
	fmt.Fprintln(out, "| figure | formula | a | b | residual | at the target size | limit |")
	fmt.Fprintln(out, "|---|---|---|---|---|---|---|")
	for _, e := range estimates() {
		var xs, ys []float64
		for _, row := range report.Rows {
			if row.System == systemDesign && row.Scenario == e.scenario && row.Metric == e.metric {
				nodes := float64(row.Nodes)
				xs, ys = append(xs, e.variable(nodes)), append(ys, e.scale(nodes, row.Value))
			}
		}
		if len(xs) < 2 {
			return fmt.Errorf("the report has %d values of %s %s", len(xs), e.scenario, e.metric)
		}
		fitted := fit(xs, ys)
		limit := "-"
		if e.limit > 0 {
			limit = fmt.Sprintf("%.4g", e.limit)
		}
		fmt.Fprintf(out, "| %s | %s | %.4g | %.4g | %.2g | **%.4g** | %s |\n",
			e.name, e.formula, fitted.intercept, fitted.slope, fitted.residual, fitted.at(e.targetValue), limit)
	}
	return nil
}
