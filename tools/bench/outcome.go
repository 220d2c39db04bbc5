package main

import (
	"sort"
	"time"
)

// reportScenario turns the endings of a scenario into rows.
func (m *requestMeasure) reportScenario(
	system string, s *scenario, tally *Tally, targets []Target, runs map[string]int, span time.Duration,
) {
	nodes := 0
	for _, group := range tenantServers {
		nodes += group.servers
	}
	groups := map[string]func(*Target) bool{"all": func(*Target) bool { return true }}
	for i := range targets {
		one := targets[i]
		groups["rank "+one.Rank] = func(t *Target) bool { return t.Rank == one.Rank }
		groups["account "+one.Account] = func(t *Target) bool { return t.Account == one.Account }
		groups["call "+one.Call] = func(t *Target) bool { return t.Call == one.Call }
	}
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		m.group(system, s, nodes, name, tally.summarize(groups[name]), span)
	}
	m.report.add(system, s.name, nodes, "dropped_by_caller", float64(tally.dropped))
	v := tally.verify(runs)
	zero := func(metric string, count int) {
		if system == systemDesign {
			m.report.atMost(system, s.name, nodes, metric, float64(count), 0)
			return
		}
		m.report.add(system, s.name, nodes, metric, float64(count))
	}
	zero("ran_twice", v.Twice)
	zero("notrun_but_ran", v.False)
	zero("answers_mixed_or_absent", tally.summarize(groups["all"]).Mixed+v.Absent)
	m.floods(system, s, nodes, tally, span)
}

// group reports the figures of one group of requests.
func (m *requestMeasure) group(system string, s *scenario, nodes int, name string, sum Summary, span time.Duration) {
	add := func(metric string, value float64) { m.report.add(system, s.name, nodes, name+" "+metric, value) }
	sent := float64(max(sum.Sent, 1))
	add("goodput_per_s", float64(sum.InTime)/span.Seconds())
	add("in_time_share", float64(sum.InTime)/sent)
	p99 := float64(sum.Added.ValueAtQuantile(99)) / 1000
	if name == "all" && s.name == "load-0.7-near" && system == systemDesign {
		m.report.atMost(system, s.name, nodes, "all added_p99_ms", p99, addedTarget)
	} else {
		add("added_p99_ms", p99)
	}
	add("added_p50_ms", float64(sum.Added.ValueAtQuantile(50))/1000)
	add("added_p999_ms", float64(sum.Added.ValueAtQuantile(99.9))/1000)
	add("notrun_share", float64(sum.NotRun)/sent)
	add("unknown_share", float64(sum.Unknown)/sent)
	if name == "all" && system == systemDesign {
		m.report.atMost(system, s.name, nodes, "all retries_share", float64(sum.Retries)/sent, retriesTarget)
	}
	if name == "all" {
		for code, count := range sum.Codes {
			add("code "+code, float64(count))
		}
	}
}

// floods reports what the stated targets say of floods on storefront.
func (m *requestMeasure) floods(system string, s *scenario, nodes int, tally *Tally, span time.Duration) {
	all := tally.summarize(func(t *Target) bool { return t.Service == floodedService })
	goodput := float64(all.InTime) / span.Seconds()
	if s.name == "load-1.0" {
		m.base = goodput
	}
	if s.flood == nil || system != systemDesign {
		return
	}
	if m.base > 0 {
		m.report.atLeast(system, s.name, nodes, "storefront goodput_ratio", goodput/m.base, goodputTarget)
	}
	if _, low := s.flood["pricing"]; low {
		urgent := tally.summarize(func(t *Target) bool { return t.Rank == "stock" })
		share := float64(urgent.InTime) / float64(max(urgent.Sent, 1))
		m.report.atLeast(system, s.name, nodes, "rank stock in_time_share", share, urgentTarget)
		return
	}
	// The share of a rank is of the work that the service does.
	pricing := tally.summarize(func(t *Target) bool { return t.Rank == "pricing" })
	kept := float64(pricing.Answered) / float64(max(all.Answered, 1))
	m.report.atLeast(system, s.name, nodes, "rank pricing kept_share", kept, pricingShare)
}

// pricingShare is the share that the example template states for the rank of pricing calls.
const pricingShare = 0.10
