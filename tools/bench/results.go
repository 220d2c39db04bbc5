package main

import (
	"sort"
	"time"
)

// reportScenario adds the figures of a scenario to the report.
func (m *requestMeasurement) reportScenario(
	system string, s *scenario, tally *Tally, targets []Target, runs map[string]int, duration time.Duration,
) {
	nodes := 0
	for _, group := range serviceGroups {
		nodes += group.servers
	}
	groups := map[string]func(*Target) bool{"all": func(*Target) bool { return true }}
	for i := range targets {
		target := targets[i]
		groups["rank "+target.Rank] = func(t *Target) bool { return t.Rank == target.Rank }
		groups["account "+target.Account] = func(t *Target) bool { return t.Account == target.Account }
		groups["call "+target.Call] = func(t *Target) bool { return t.Call == target.Call }
	}
	names := make([]string, 0, len(groups))
	for name := range groups {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		m.reportGroup(system, s, nodes, name, tally.summarize(groups[name]), duration)
	}
	m.report.add(system, s.name, nodes, "dropped_by_caller", float64(tally.dropped))
	v := tally.verify(runs)
	expectZero := func(metric string, count int) {
		if system == systemDesign {
			m.report.addAtMost(system, s.name, nodes, metric, float64(count), 0)
			return
		}
		m.report.add(system, s.name, nodes, metric, float64(count))
	}
	expectZero("ran_twice", v.RanTwice)
	expectZero("notrun_but_ran", v.NotRunButRan)
	expectZero("answers_mixed_or_absent", tally.summarize(groups["all"]).MixedUp+v.AnsweredNotRun)
	m.reportFlood(system, s, nodes, tally, duration)
}

// reportGroup reports the figures of one group of requests: all, or those of a rank, a client account or a call.
func (m *requestMeasurement) reportGroup(
	system string, s *scenario, nodes int, name string, summary Summary, duration time.Duration,
) {
	add := func(metric string, value float64) { m.report.add(system, s.name, nodes, name+" "+metric, value) }
	sent := float64(max(summary.Sent, 1))
	add("goodput_per_s", float64(summary.InTime)/duration.Seconds())
	add("in_time_share", float64(summary.InTime)/sent)
	p99 := float64(summary.Added.ValueAtQuantile(99)) / 1000
	if name == "all" && s.name == "load-0.7-near" && system == systemDesign {
		m.report.addAtMost(system, s.name, nodes, "all added_p99_ms", p99, addedLatencyTarget)
	} else {
		add("added_p99_ms", p99)
	}
	add("added_p50_ms", float64(summary.Added.ValueAtQuantile(50))/1000)
	add("added_p999_ms", float64(summary.Added.ValueAtQuantile(99.9))/1000)
	add("notrun_share", float64(summary.NotRun)/sent)
	add("unknown_share", float64(summary.Unknown)/sent)
	if name == "all" && system == systemDesign {
		m.report.addAtMost(system, s.name, nodes, "all retries_share", float64(summary.Retries)/sent, retriesTarget)
	}
	if name == "all" {
		for code, count := range summary.Codes {
			add("code "+code, float64(count))
		}
	}
}

// reportFlood reports the figures of the flooded service that have a target.
func (m *requestMeasurement) reportFlood(system string, s *scenario, nodes int, tally *Tally, duration time.Duration) {
	all := tally.summarize(func(t *Target) bool { return t.Service == floodedService })
	goodput := float64(all.InTime) / duration.Seconds()
	if s.name == "load-1.0" {
		m.capacityGoodput = goodput
	}
	if s.flood == nil || system != systemDesign {
		return
	}
	if m.capacityGoodput > 0 {
		m.report.addAtLeast(system, s.name, nodes, "storefront goodput_ratio", goodput/m.capacityGoodput, goodputTarget)
	}
	if _, lowPriority := s.flood["pricing"]; lowPriority {
		urgent := tally.summarize(func(t *Target) bool { return t.Rank == "stock" })
		share := float64(urgent.InTime) / float64(max(urgent.Sent, 1))
		m.report.addAtLeast(system, s.name, nodes, "rank stock in_time_share", share, urgentTarget)
		return
	}
	// The share of a rank is a share of the requests that the service answers, not of those sent to it.
	pricing := tally.summarize(func(t *Target) bool { return t.Rank == "pricing" })
	kept := float64(pricing.Answered) / float64(max(all.Answered, 1))
	m.report.addAtLeast(system, s.name, nodes, "rank pricing kept_share", kept, pricingShare)
}

// pricingShare is the guaranteed share of the pricing rank in the example template.
const pricingShare = 0.10
