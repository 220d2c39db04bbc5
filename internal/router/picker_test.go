package router

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

type directory struct{ members []tracker.Member }

func (d *directory) Service(string) []tracker.Member { return d.members }

func member(name, zone string) tracker.Member {
	return tracker.Member{Name: name, Zone: zone, Service: "s", Slots: 6, State: tracker.StateReady}
}

func newPicker(clock timekeeper.Clock, members ...tracker.Member) (*Picker, *directory) {
	d := &directory{members: members}
	return NewPicker(Options{
		Directory: d, Clock: clock, Zone: "near", Delays: map[string]timekeeper.Millis{"mid": 4, "far": 40},
		Random: rand.New(rand.NewPCG(1, 2)),
	}), d
}

func pick(t *testing.T, p *Picker) string {
	t.Helper()
	got, err := p.Pick(Request{Service: "s"})
	if err != nil {
		t.Fatal(err)
	}
	return got.Name
}

// simulateLoad sends calls from several entry nodes to 9 upstreams, three of which are slow. It returns the highest
// number of calls at one upstream and the mean time of a call in ms. Reports arrive with the responses, so each entry
// node's view of the other nodes' calls is stale.
func simulateLoad(
	t *testing.T, choose func(p *Picker, entry, n int) string, adjust func(*Picker),
) (maxCalls, meanTime float64) {
	t.Helper()
	clock := timekeeper.Manual(1_000_000)
	members := make([]tracker.Member, 9)
	for i := range members {
		members[i] = member(fmt.Sprint(i), "near")
	}
	pickers := make([]*Picker, 4)
	for i := range pickers {
		pickers[i], _ = newPicker(clock.Clock(), members...)
		adjust(pickers[i])
	}
	type call struct {
		entry     int
		startedAt timekeeper.Millis
	}
	queues := make(map[string][]call)
	credit := make(map[string]float64)
	random := rand.New(rand.NewPCG(3, 4))
	totalTime, finishedCalls := 0.0, 0.0
	for step := range 20_000 {
		clock.Advance(1)
		now := clock.Clock().Now()
		for i := range members {
			name := members[i].Name
			speed := 6.0 / 20 // calls per ms
			if i < 3 {
				speed /= 4
			}
			credit[name] = min(credit[name]+speed, 6)
			for ; credit[name] >= 1 && len(queues[name]) > 0; credit[name]-- {
				finished := queues[name][0]
				queues[name] = queues[name][1:]
				pickers[finished.entry].RecordEnd(name, Report{
					Latency: now - finished.startedAt, HasLoad: true, Running: min(len(queues[name]), 6),
					Queued: max(len(queues[name])-6, 0),
				})
				totalTime += float64(now - finished.startedAt)
				finishedCalls++
			}
			maxCalls = max(maxCalls, float64(len(queues[name])))
		}
		for range 2 { // at most 2 calls per ms, of a capacity of 2.025
			if random.Float64() > 0.85 {
				continue
			}
			entry := random.IntN(len(pickers))
			name := choose(pickers[entry], entry, step)
			pickers[entry].RecordStart(name)
			queues[name] = append(queues[name], call{entry, now})
		}
	}
	return maxCalls, totalTime / finishedCalls
}

// Guards against load that accumulates at slow upstreams while reports are stale, as it does with random choice or
// round robin.
func TestLoadBalancingWithStaleReports(t *testing.T) {
	byPicker := func(p *Picker, _, _ int) string { return pick(t, p) }
	most, mean := simulateLoad(t, byPicker, func(*Picker) {})
	random, randomMean := simulateLoad(t, byPicker, func(p *Picker) { p.singleChoice = true })
	turn := 0
	roundRobin, roundRobinMean := simulateLoad(t,
		func(*Picker, int, int) string { turn++; return fmt.Sprint(turn % 9) }, func(*Picker) {})
	t.Logf("most calls at one upstream: %.0f; random %.0f, round robin %.0f", most, random, roundRobin)
	t.Logf("mean ms: %.1f; random %.1f, round robin %.1f", mean, randomMean, roundRobinMean)
	if most > random/10 || most > roundRobin/10 || mean > randomMean/10 || mean > roundRobinMean/10 {
		t.Error("the choice does not spread the load ten times better than the baselines")
	}
}

// Guards against a newly started upstream that gets its full share of requests at once.
func TestSlowStart(t *testing.T) {
	coldShare := func(adjust func(*Picker), age timekeeper.Millis) float64 {
		clock := timekeeper.Manual(1_000_000)
		cold := member("cold", "near")
		cold.Started = clock.Clock().Now() - age
		p, _ := newPicker(clock.Clock(), member("a", "near"), member("b", "near"), cold)
		adjust(p)
		count := 0
		for range 60 { // calls never finish, so that load decides
			name := pick(t, p)
			p.RecordStart(name)
			if name == "cold" {
				count++
			}
		}
		return float64(count) / 60
	}
	noChange := func(*Picker) {}
	if fresh, warm := coldShare(noChange, 0), coldShare(noChange, warmUpTime); fresh > 0.1 || warm < 0.28 {
		t.Errorf("share of a cold upstream %.2f, of a warm one %.2f", fresh, warm)
	}
	if fresh := coldShare(func(p *Picker) { p.noWarmUp = true }, 0); fresh < 0.28 {
		t.Errorf("without slow start a cold upstream gets %.2f too", fresh)
	}
}

// Guards against new requests for members that are starting, draining, failed or gone, from the moment the membership
// table lists them so.
func TestUnusableMembersAreNotPicked(t *testing.T) {
	clock := timekeeper.Manual(1_000_000)
	all := []tracker.Member{member("good", "near"), member("b", "near"), member("c", "near"), member("d", "near")}
	p, d := newPicker(clock.Clock(), all...)
	pick(t, p)
	changed := append([]tracker.Member(nil), all...)
	changed[1].State = tracker.StateDraining
	changed[2].Health, changed[3].Health = tracker.HealthFailed, tracker.HealthLeft
	d.members = changed
	for range 100 {
		if name := pick(t, p); name != "good" {
			t.Fatalf("a request went to %s", name)
		}
	}
	unfiltered, _ := newPicker(clock.Clock(), changed...)
	unfiltered.includeUnusable = true
	seen := make(map[string]bool)
	for range 100 {
		seen[pick(t, unfiltered)] = true
	}
	if len(seen) != 4 {
		t.Error("without the check unusable members get nothing either")
	}
	d.members = changed[1:]
	if _, err := p.Pick(Request{Service: "s"}); classifier.CodeOf(err) != classifier.CodeNoUpstream {
		t.Errorf("error %v without usable members", err)
	}
}

// Guards against a refusing member that is picked again at once, and against a refusal that excludes other calls or
// outlasts its hint.
func TestRefusingMembersAreSkipped(t *testing.T) {
	clock := timekeeper.Manual(1_000_000)
	p, _ := newPicker(clock.Clock(), member("a", "near"), member("b", "near"))
	flood, other := Request{Service: "s", Call: "flood"}, Request{Service: "s", Call: "other"}
	refuse := func(name string, code classifier.Code) {
		p.RecordStart(name)
		p.RecordEnd(name, Report{Request: flood, Code: code, RetryAfter: 100})
	}
	refuse("a", classifier.CodeOverload)
	for range 50 {
		if got, _ := p.Pick(flood); got.Name != "b" {
			t.Fatalf("picked %q", got.Name)
		}
	}
	refuse("b", classifier.CodeOverload)
	if _, err := p.Pick(flood); classifier.CodeOf(err) != classifier.CodeOverload {
		t.Errorf("error %v while all are busy", err)
	}
	if _, err := p.Pick(other); err != nil {
		t.Errorf("another call is refused too: %v", err)
	}
	clock.Advance(101)
	if _, err := p.Pick(flood); err != nil {
		t.Errorf("refused after the hint: %v", err)
	}
	refuse("a", classifier.CodeDraining)
	for range 50 {
		if got, _ := p.Pick(other); got.Name != "b" {
			t.Fatalf("a draining member was picked")
		}
	}
}

// Guards against requests that leave the data centre without need, stay although the wait costs more than the delay to
// another one, or go to a farther data centre than necessary.
func TestZonesAreChosenByCost(t *testing.T) {
	clock := timekeeper.Manual(1_000_000)
	pickedZones := func(load int, adjust func(*Picker)) map[string]int {
		p, _ := newPicker(clock.Clock(), member("n1", "near"), member("n2", "near"), member("m1", "mid"), member("f1", "far"))
		adjust(p)
		for _, name := range []string{"n1", "n2"} {
			for range load {
				p.RecordStart(name)
				p.endpoint(name).addLatency(20 * max(float64(load)/6, 1))
			}
		}
		seen := make(map[string]int)
		for range 100 {
			seen[pick(t, p)[:1]]++
		}
		return seen
	}
	noChange := func(*Picker) {}
	if seen := pickedZones(6, noChange); seen["n"] != 100 {
		t.Errorf("with free slots: %v", seen)
	}
	if seen := pickedZones(7, noChange); seen["n"] != 100 {
		t.Errorf("with a wait below the delay: %v", seen)
	}
	if seen := pickedZones(12, noChange); seen["m"] != 100 {
		t.Errorf("with a wait above the delay: %v", seen)
	}
	if seen := pickedZones(0, func(p *Picker) { p.noZones = true }); seen["n"] == 100 {
		t.Error("without zones all requests stay local too")
	}
}

// Guards against a member that failed once and is never tried again.
func TestFailuresDecay(t *testing.T) {
	clock := timekeeper.Manual(1_000_000)
	p, _ := newPicker(clock.Clock(), member("a", "near"), member("b", "near"))
	for range 30 {
		p.RecordStart("a")
		p.RecordEnd("a", Report{Code: classifier.CodeOutcomeUnknown, Failed: true})
	}
	p.RecordStart("b")
	if name := pick(t, p); name != "b" {
		t.Errorf("picked %s, which fails", name)
	}
	clock.Advance(20 * timekeeper.Second)
	if name := pick(t, p); name != "a" {
		t.Errorf("picked %s, which is busy", name)
	}
}

// BenchmarkPick measures one choice and its report among 15 members on all processors.
func BenchmarkPick(b *testing.B) {
	members := make([]tracker.Member, 15)
	for i := range members {
		members[i] = member(fmt.Sprint(i), "near")
	}
	p, _ := newPicker(timekeeper.System(), members...)
	p.random = nil
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			m, _ := p.Pick(Request{Service: "s", Account: "ochre", Call: "weigh", Rank: 1})
			p.RecordStart(m.Name)
			p.RecordEnd(m.Name, Report{Latency: 5, HasLoad: true, Running: 3})
		}
	})
}
