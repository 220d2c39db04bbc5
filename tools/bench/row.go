package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"
)

// Row is one measured figure. Held reports whether Value meets Target; both pointers are nil without a target.
type Row struct {
	System   string   `json:"system"`
	Scenario string   `json:"scenario"`
	Nodes    int      `json:"nodes"`
	Metric   string   `json:"metric"`
	Value    float64  `json:"value"`
	Target   *float64 `json:"target,omitempty"`
	Held     *bool    `json:"held,omitempty"`
}

// Report collects measured figures and writes them as JSON or as a table.
type Report struct {
	Rows []Row `json:"rows"`
}

// add appends a figure without a target.
func (r *Report) add(system, scenario string, nodes int, metric string, value float64) {
	r.Rows = append(r.Rows, Row{System: system, Scenario: scenario, Nodes: nodes, Metric: metric, Value: value})
}

// addAtMost appends a figure whose target is an upper bound.
func (r *Report) addAtMost(system, scenario string, nodes int, metric string, value, target float64) {
	held := value <= target
	r.Rows = append(r.Rows, Row{
		System: system, Scenario: scenario, Nodes: nodes, Metric: metric, Value: value, Target: &target, Held: &held,
	})
}

// addAtLeast appends a figure whose target is a lower bound.
func (r *Report) addAtLeast(system, scenario string, nodes int, metric string, value, target float64) {
	held := value >= target
	r.Rows = append(r.Rows, Row{
		System: system, Scenario: scenario, Nodes: nodes, Metric: metric, Value: value, Target: &target, Held: &held,
	})
}

// write writes the rows as JSON to the file at path.
func (r *Report) write(path string) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	content, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(content, '\n'), 0o644)
}

// print writes the rows as a table.
func (r *Report) print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "system\tscenario\tnodes\tmetric\tvalue\ttarget\theld")
	for _, row := range r.Rows {
		target, held := "-", "-"
		if row.Target != nil {
			target, held = fmt.Sprintf("%.4g", *row.Target), fmt.Sprint(*row.Held)
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%s\t%.4g\t%s\t%s\n",
			row.System, row.Scenario, row.Nodes, row.Metric, row.Value, target, held)
	}
	return table.Flush()
}
