package admitter

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// source sends equal requests at a steady rate.
type source struct {
	name    string
	rate    float64           // requests per second
	service timekeeper.Millis // average service time
	work    Work
	timeout timekeeper.Millis
}

// tally counts the requests of a source by outcome.
type tally struct {
	arrived, started, refused, late, onTime int
}

// onTimeRatio returns the share of the arrived requests that ended within their target.
func (t tally) onTimeRatio() float64 {
	return float64(t.onTime) / float64(max(t.arrived, 1))
}

type activeRequest struct {
	ticket  *Ticket
	arrived timekeeper.Millis
	endsAt  timekeeper.Millis
	source  int
}

// simulate runs a machine with 6 slots in steps of 1 ms and returns the tally of each source. A request that ends
// within its target is on time. The seed is fixed, and active requests are kept in the order of their starts, so that
// all runs are the same.
func simulate(adjust func(*Machine), duration timekeeper.Millis, sources ...source) map[string]tally {
	m := NewMachine(6, 384)
	if adjust != nil {
		adjust(m)
	}
	random := rand.New(rand.NewPCG(1, 2))
	tallies := make([]tally, len(sources))
	waiting := make(map[*Ticket]activeRequest)
	var active []activeRequest
	apply := func(now timekeeper.Millis, actions []Action) {
		for _, action := range actions {
			switch a := action.(type) {
			case Start:
				request := waiting[a.Ticket]
				request.endsAt = now + 1 + timekeeper.Millis(random.Int64N(int64(2*sources[request.source].service)))
				active = append(active, request)
				delete(waiting, a.Ticket)
				tallies[request.source].started++
			case Refuse:
				tallies[waiting[a.Ticket].source].refused++
				delete(waiting, a.Ticket)
			}
		}
	}
	const begin = timekeeper.Millis(1_000_000)
	for now := begin; now < begin+duration; now++ {
		for _, request := range slices.Clone(active) {
			if request.endsAt > now {
				continue
			}
			active = slices.DeleteFunc(active, func(r activeRequest) bool { return r.ticket == request.ticket })
			if now-request.arrived <= request.ticket.Target {
				tallies[request.source].onTime++
			} else {
				tallies[request.source].late++
			}
			apply(now, m.Step(now, Finish{request.ticket}))
		}
		apply(now, m.Step(now, Expire{}))
		for i, s := range sources {
			for n := arrivals(random, s.rate/1000); n > 0; n-- {
				t := &Ticket{Work: s.work}
				t.Deadline = now + s.timeout
				waiting[t] = activeRequest{ticket: t, arrived: now, source: i}
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

// arrivals draws an integer with the given mean: the mean rounded down, or up with the probability of its fraction.
func arrivals(random *rand.Rand, mean float64) int {
	n := int(mean)
	if random.Float64() < mean-float64(n) {
		n++
	}
	return n
}

var (
	urgent     = Work{Account: "ochre", Call: "weigh", Order: 1, Share: 50, Target: 200}
	steady     = Work{Account: "ochre", Call: "standing", Order: 2, Share: 30, Target: 500}
	background = Work{Account: "ochre", Call: "grades", Order: 3, Share: 10, Target: 1000}
)

// capacity is about 300 calls/s, the throughput of 6 slots at an average service time of 20 ms.
const capacity = 300.0

// newSource returns a source that sends the given share of the capacity.
func newSource(name string, share float64, work Work) source {
	return source{name: name, rate: share * capacity, service: 20, work: work, timeout: 2000}
}

// firstComeFirstServed reduces the machine to a plain queue with a length limit.
func firstComeFirstServed(m *Machine) {
	m.noRanks, m.noShares, m.noFairQueueing, m.noWaitEstimate = true, true, true, true
}

// Guards against urgent requests that wait behind a flood of the least urgent ones.
func TestUrgentRequestsInBackgroundFlood(t *testing.T) {
	sources := append(make([]source, 0, 41), newSource("urgent", 0.4, urgent))
	for i := range 40 { // spread over many calls, so that fair queueing alone does not protect the urgent call
		flood := background
		flood.Call = "call" + strconv.Itoa(i)
		sources = append(sources, newSource(flood.Call, 10.0/40, flood))
	}
	if got := simulate(nil, 20_000, sources...)["urgent"]; got.onTimeRatio() < 0.99 {
		t.Errorf("urgent requests on time: %.4f of %+v", got.onTimeRatio(), got)
	}
	if got := simulate(firstComeFirstServed, 20_000, sources...)["urgent"]; got.onTimeRatio() > 0.9 {
		t.Errorf("urgent requests are on time under first come, first served too: %.4f", got.onTimeRatio())
	}
	withoutRanks := func(m *Machine) { m.noRanks = true }
	if got := simulate(withoutRanks, 20_000, sources...)["urgent"]; got.onTimeRatio() > 0.99 {
		t.Errorf("urgent requests are on time without ranks too: %.4f", got.onTimeRatio())
	}
}

// Guards against a flood of urgent requests that pushes other ranks below their guaranteed shares. All requests have
// the same average service time, so the shares of the starts are those of the service time.
func TestSharesInUrgentFlood(t *testing.T) {
	sources := []source{
		newSource("urgent", 10, urgent), newSource("steady", 1, steady),
		newSource("background", 1, background),
	}
	share := func(adjust func(*Machine), name string) float64 {
		got := simulate(adjust, 20_000, sources...)
		total := got["urgent"].started + got["steady"].started + got["background"].started
		return float64(got[name].started) / float64(total)
	}
	withoutShares := func(m *Machine) { m.noShares = true }
	for name, guaranteed := range map[string]float64{"steady": 0.30, "background": 0.10} {
		if got := share(nil, name); got < guaranteed-0.005 {
			t.Errorf("%s has %.3f of the starts, guaranteed are %.2f", name, got, guaranteed)
		}
		if got := share(withoutShares, name); got > guaranteed/2 {
			t.Errorf("without shares %s has %.3f of the starts too", name, got)
		}
	}
}

// Guards against a flooding account or call that starves others of the same rank.
func TestFairQueueingWithinRank(t *testing.T) {
	other := urgent
	other.Account = "wick"
	sibling := urgent
	sibling.Call = "settle"
	sources := []source{newSource("flood", 10, urgent), newSource("account", 0.2, other), newSource("call", 0.2, sibling)}
	fair, unfair := simulate(nil, 20_000, sources...),
		simulate(func(m *Machine) { m.noFairQueueing = true }, 20_000, sources...)
	for _, name := range []string{"account", "call"} {
		if got := fair[name]; got.onTimeRatio() < 0.99 {
			t.Errorf("%s on time: %.4f of %+v", name, got.onTimeRatio(), got)
		}
		if got := unfair[name]; got.onTimeRatio() > 0.9 {
			t.Errorf("%s is on time without fair queueing too: %.4f", name, got.onTimeRatio())
		}
	}
}

// Guards against an account that gets more slot time than another because its requests take longer.
func TestFairQueueingByServiceTime(t *testing.T) {
	long, short := newSource("long", 10, urgent), newSource("short", 10, urgent)
	long.service, long.work.Account = 100, "wick"
	got := simulate(nil, 40_000, long, short)
	ratio := float64(got["long"].started*100) / float64(got["short"].started*20)
	if ratio < 0.7 || ratio > 1.4 {
		t.Errorf("ratio of the slot times of long and short requests is %.2f", ratio)
	}
}

// Guards against goodput that drops in a flood because slots are used for requests that end too late.
func TestGoodputInFlood(t *testing.T) {
	total := func(adjust func(*Machine), factor float64) float64 {
		got := simulate(adjust, 20_000, newSource("urgent", 0.3*factor, urgent), newSource("steady", 0.3*factor, steady),
			newSource("background", 0.4*factor, background))
		return float64(got["urgent"].onTime + got["steady"].onTime + got["background"].onTime)
	}
	atCapacity := total(nil, 1)
	if flood := total(nil, 10); flood < 0.95*atCapacity {
		t.Errorf("goodput at 10 times capacity is %.3f of that at capacity", flood/atCapacity)
	}
	withoutEstimate := func(m *Machine) { m.noWaitEstimate = true }
	if flood := total(withoutEstimate, 10); flood > 0.95*atCapacity {
		t.Errorf("without the estimate goodput is %.3f too", flood/atCapacity)
	}
}

// Guards against refusals at ordinary load, where the requests in a short queue can be served within their target.
func TestFewRefusalsAtOrdinaryLoad(t *testing.T) {
	run := func(adjust func(*Machine)) (refused, onTime float64) {
		slow := newSource("urgent", 0.7/2.5, urgent) // at two and a half times the usual service time
		slow.service = 50
		got := simulate(adjust, 200_000, slow)["urgent"]
		return float64(got.refused) / float64(got.arrived), got.onTimeRatio()
	}
	refused, onTime := run(nil)
	strictRefused, strictOnTime := run(func(m *Machine) { m.alwaysFloodLimit = true })
	t.Logf("refused %.4f, on time %.4f; with the limit for floods %.4f and %.4f",
		refused, onTime, strictRefused, strictOnTime)
	if refused > 0.005 || onTime < 0.99 {
		t.Errorf("refused %.4f, on time %.4f", refused, onTime)
	}
	if strictRefused < 2*refused || strictOnTime > onTime {
		t.Errorf("with the limit for floods refused %.4f, on time %.4f", strictRefused, strictOnTime)
	}
}
