package admitter

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// source sends one kind of work at a steady rate.
type source struct {
	name    string
	rate    float64 // per second
	service timekeeper.Millis
	work    Work
	timeout timekeeper.Millis
}

// tally is what became of a source's work.
type tally struct {
	arrived, started, refused, late, onTime int
}

func (t tally) ratio() float64 {
	return float64(t.onTime) / float64(max(t.arrived, 1))
}

type running struct {
	ticket  *Ticket
	arrived timekeeper.Millis
	due     timekeeper.Millis
	from    int
}

// simulate runs a machine with 6 slots in steps of 1 ms. Work that ends within its target counts as on time. Runs of
// one seed are the same: active work is kept in the order of its starts.
func simulate(adjust func(*Machine), span timekeeper.Millis, sources ...source) map[string]tally {
	m := NewMachine(6, 384)
	if adjust != nil {
		adjust(m)
	}
	random := rand.New(rand.NewPCG(1, 2))
	tallies := make([]tally, len(sources))
	waiting := make(map[*Ticket]running)
	var active []running
	apply := func(now timekeeper.Millis, actions []Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case Start:
				one := waiting[a.Ticket]
				one.due = now + 1 + timekeeper.Millis(random.Int64N(int64(2*sources[one.from].service)))
				active = append(active, one)
				delete(waiting, a.Ticket)
				tallies[one.from].started++
			case Refuse:
				tallies[waiting[a.Ticket].from].refused++
				delete(waiting, a.Ticket)
			}
		}
	}
	const begin = timekeeper.Millis(1_000_000)
	for now := begin; now < begin+span; now++ {
		for _, one := range slices.Clone(active) {
			if one.due > now {
				continue
			}
			active = slices.DeleteFunc(active, func(r running) bool { return r.ticket == one.ticket })
			if now-one.arrived <= one.ticket.Target {
				tallies[one.from].onTime++
			} else {
				tallies[one.from].late++
			}
			apply(now, m.Step(now, Finish{one.ticket}))
		}
		apply(now, m.Step(now, Expire{}))
		for i, s := range sources {
			for n := arrivals(random, s.rate/1000); n > 0; n-- {
				t := &Ticket{Work: s.work}
				t.Deadline = now + s.timeout
				waiting[t] = running{ticket: t, arrived: now, from: i}
				tallies[i].arrived++
				apply(now, m.Step(now, Arrive{t}))
			}
		}
	}
	result := make(map[string]tally)
	for i, s := range sources {
		result[s.name] = tallies[i]
	}
	return result
}

// arrivals draws a number with the given mean: its whole part, and one more with the probability of the rest.
func arrivals(random *rand.Rand, mean float64) int {
	n := int(mean)
	if random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

var (
	urgent = Work{Account: "ochre", Call: "weigh", Order: 1, Share: 50, Target: 200}
	steady = Work{Account: "ochre", Call: "standing", Order: 2, Share: 30, Target: 500}
	idle   = Work{Account: "ochre", Call: "grades", Order: 3, Share: 10, Target: 1000}
)

// Slots 6 and 20 ms of service on average give a capacity of about 300 calls/s.
const capacity = 300.0

func load(name string, share float64, work Work) source {
	return source{name: name, rate: share * capacity, service: 20, work: work, timeout: 2000}
}

func naive(m *Machine) {
	m.noRanks, m.noShares, m.noTurns, m.noEstimate = true, true, true, true
}

// Guards against urgent work that waits behind a flood of the least urgent work.
func TestUrgentWorkInFloodOfIdleWork(t *testing.T) {
	sources := append(make([]source, 0, 41), load("urgent", 0.4, urgent))
	for i := range 40 { // of many calls, so that turns alone do not protect the urgent one
		flood := idle
		flood.Call = "call" + strconv.Itoa(i)
		sources = append(sources, load(flood.Call, 10.0/40, flood))
	}
	if got := simulate(nil, 20_000, sources...)["urgent"]; got.ratio() < 0.99 {
		t.Errorf("urgent work on time: %.4f of %+v", got.ratio(), got)
	}
	if got := simulate(naive, 20_000, sources...)["urgent"]; got.ratio() > 0.9 {
		t.Errorf("first come first served keeps urgent work on time too: %.4f", got.ratio())
	}
	off := func(m *Machine) { m.noRanks = true }
	if got := simulate(off, 20_000, sources...)["urgent"]; got.ratio() > 0.99 {
		t.Errorf("without ranks urgent work is on time too: %.4f", got.ratio())
	}
}

// Guards against a flood of urgent work that starves the other ranks below their stated shares.
func TestSharesInFloodOfUrgentWork(t *testing.T) {
	sources := []source{load("urgent", 10, urgent), load("steady", 1, steady), load("idle", 1, idle)}
	share := func(adjust func(*Machine), name string) float64 {
		got := simulate(adjust, 20_000, sources...)
		total := got["urgent"].started + got["steady"].started + got["idle"].started
		return float64(got[name].started) / float64(total)
	}
	off := func(m *Machine) { m.noShares = true }
	for name, least := range map[string]float64{"steady": 0.30, "idle": 0.10} {
		if got := share(nil, name); got < least-0.005 {
			t.Errorf("%s has %.3f of the starts, stated are %.2f", name, got, least)
		}
		if got := share(off, name); got > least/2 {
			t.Errorf("without shares %s has %.3f of the starts too", name, got)
		}
	}
}

// Guards against one flooding account or call that takes what others of its rank need.
func TestTurnsInsideRank(t *testing.T) {
	other := urgent
	other.Account = "wick"
	sibling := urgent
	sibling.Call = "settle"
	sources := []source{load("flood", 10, urgent), load("account", 0.2, other), load("call", 0.2, sibling)}
	on, off := simulate(nil, 20_000, sources...), simulate(func(m *Machine) { m.noTurns = true }, 20_000, sources...)
	for _, name := range []string{"account", "call"} {
		if got := on[name]; got.ratio() < 0.99 {
			t.Errorf("%s on time: %.4f of %+v", name, got.ratio(), got)
		}
		if got := off[name]; got.ratio() > 0.9 {
			t.Errorf("without turns %s is on time too: %.4f", name, got.ratio())
		}
	}
}

// Guards against long work of one account that takes more slot time than short work of another.
func TestTurnsCountTimeNotCalls(t *testing.T) {
	long, short := load("long", 10, urgent), load("short", 10, urgent)
	long.service, long.work.Account = 100, "wick"
	got := simulate(nil, 40_000, long, short)
	ratio := float64(got["long"].started*100) / float64(got["short"].started*20)
	if ratio < 0.7 || ratio > 1.4 {
		t.Errorf("slot time of long to short work is %.2f", ratio)
	}
}

// Guards against goodput that falls in a flood because slots are spent on answers that come too late.
func TestGoodputInFlood(t *testing.T) {
	total := func(adjust func(*Machine), times float64) float64 {
		got := simulate(adjust, 20_000, load("urgent", 0.3*times, urgent), load("steady", 0.3*times, steady),
			load("idle", 0.4*times, idle))
		return float64(got["urgent"].onTime + got["steady"].onTime + got["idle"].onTime)
	}
	once := total(nil, 1)
	if flood := total(nil, 10); flood < 0.95*once {
		t.Errorf("goodput at 10 times capacity is %.3f of that at capacity", flood/once)
	}
	off := func(m *Machine) { m.noEstimate = true }
	if flood := total(off, 10); flood > 0.95*once {
		t.Errorf("without the estimate goodput is %.3f too", flood/once)
	}
}

// Guards against refusals at ordinary load, where a short queue would have been served within the target.
func TestFewRefusalsAtOrdinaryLoad(t *testing.T) {
	run := func(adjust func(*Machine)) (refused, onTime float64) {
		slow := load("urgent", 0.7/2.5, urgent) // of two and a half times the service time
		slow.service = 50
		got := simulate(adjust, 200_000, slow)["urgent"]
		return float64(got.refused) / float64(got.arrived), got.ratio()
	}
	refused, onTime := run(nil)
	strict, less := run(func(m *Machine) { m.alwaysStrict = true })
	t.Logf("refused %.4f, on time %.4f; with the limit for floods %.4f and %.4f", refused, onTime, strict, less)
	if refused > 0.005 || onTime < 0.99 {
		t.Errorf("refused %.4f, on time %.4f", refused, onTime)
	}
	if strict < 2*refused || less > onTime {
		t.Errorf("with the limit for floods refused %.4f, on time %.4f", strict, less)
	}
}
