package rollouter

import (
	"fmt"
	"math/rand/v2"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// fleet is a service of upstreams with two versions and their gates, in virtual time. Requests go to open upstreams at
// random. Grants and reports arrive at once.
type fleet struct {
	clock   *timekeeper.ManualClock
	random  *rand.Rand
	order   Order
	hosts   []*upstream
	rate    float64 // requests per round
	bad     func(u *upstream, now timekeeper.Millis) float64
	short   func() float64 // share of the runs that fail as their own call finds no upstream; nil for none
	exposed int
	total   int
	lost    int // requests that ran on another version when the order completed
	written []string
}

// upstream is one upstream with its gate and the ends of its runs.
type upstream struct {
	member  tracker.Member
	gate    *Gate
	running []timekeeper.Millis
	cut     bool // grants and reports are lost
	limited bool // it takes one request in a hundred
}

func newFleet(old, added int, rate float64) *fleet {
	f := &fleet{
		clock: timekeeper.Manual(0), random: rand.New(rand.NewPCG(1, 1)), rate: rate,
		order: Order{Name: "orders", Service: "orders", Target: "v2", Period: 16 * timekeeper.Second},
		bad:   func(*upstream, timekeeper.Millis) float64 { return 0.003 },
	}
	for i := range old + added {
		version := "v1"
		if i >= old {
			version = "v2"
		}
		f.add(fmt.Sprintf("node-%02d", i), version)
	}
	f.clock.Advance(timekeeper.Minute)
	return f
}

func (f *fleet) add(name, version string) *upstream {
	u := &upstream{member: tracker.Member{
		Name: name, Peer: name, Service: "orders", Version: version, Slots: 8, State: tracker.StateReady,
	}}
	u.gate = NewGate(GateOptions{
		Service: "orders", Incarnation: 1, Clock: f.clock.Clock(), Logger: zap.NewNop(), OnChange: func() {},
		Upstream: func() Upstream {
			return Upstream{Version: u.member.Version, Healthy: true, Working: len(u.running)}
		},
		Alone: func(version string) bool {
			for _, other := range f.hosts {
				if other.member.Version != version {
					return false
				}
			}
			return true
		},
	})
	f.hosts = append(f.hosts, u)
	f.setOrder()
	u.gate.Apply(&Grant{}) // of no service: the gate learns of the version
	return u
}

// setOrder passes the order as the platform has it to all gates.
func (f *fleet) setOrder() {
	for _, u := range f.hosts {
		order := f.order
		u.gate.SetOrder(&order)
	}
}

func (f *fleet) members() []tracker.Member {
	members := make([]tracker.Member, 0, len(f.hosts))
	for _, u := range f.hosts {
		members = append(members, u.member)
	}
	return members
}

// serve runs the requests of a round.
func (f *fleet) serve() {
	now := f.clock.Clock().Now()
	for range int(f.rate) {
		var open []*upstream
		for _, u := range f.hosts {
			if a := u.gate.Admission(); a.Open && (a.Weight == 0 || f.random.IntN(fullWeight) < a.Weight) {
				open = append(open, u)
			}
		}
		f.total++
		if len(open) == 0 {
			continue
		}
		u := open[f.random.IntN(len(open))]
		if u.limited && f.random.IntN(100) > 0 || !u.gate.Begin() {
			continue
		}
		if u.member.Version == "v2" {
			f.exposed++
		}
		duration := lognormal(f.random, 100)
		u.running = append(u.running, now+duration)
		failed := f.random.Float64() < f.bad(u, now)
		if f.short != nil && f.random.Float64() < f.short() {
			u.gate.NestedFailed()
			failed = true
		}
		u.gate.Record("call", failed, duration)
	}
}

// finish ends the runs that are over.
func (f *fleet) finish() {
	now := f.clock.Clock().Now()
	for _, u := range f.hosts {
		kept := u.running[:0]
		for _, end := range u.running {
			if end > now {
				kept = append(kept, end)
			}
		}
		u.running = kept
	}
}

// round runs one round of a machine, whose node writes a status at once unless lose is set. Like a Conductor, it runs
// another round if the version is found bad.
func (f *fleet) round(m *Machine, lose bool) {
	status := f.exchange(m)
	if status == nil && m.stage == stageStop {
		status = f.exchange(m)
	}
	if status == nil || lose {
		return
	}
	f.order.Status = *status
	f.written = append(f.written, fmt.Sprintf("%s %v", status.Phase, status.Switching))
	if status.Phase == PhaseCompleted {
		for _, u := range f.hosts {
			if u.member.Version == "v1" {
				f.lost += len(u.running)
			}
		}
	}
	f.setOrder()
}

// exchange sends the grants of a round and returns the status that the reports lead to.
func (f *fleet) exchange(m *Machine) *Status {
	reports := make(map[string]Report)
	order := f.order
	members := f.members()
	for _, sending := range m.Plan(&order, members) {
		for _, u := range f.hosts {
			if u.member.Name == sending.Member.Name && !u.cut {
				reports[u.member.Name] = u.gate.Apply(&sending.Grant)
			}
		}
	}
	return m.Evaluate(f.clock.Clock().Now(), &order, members, reports)
}

// step lets the time of a round pass.
func (f *fleet) step() {
	f.serve()
	f.clock.Advance(roundInterval)
	f.finish()
}

// run conducts the roll-out until it ends or the time is over, and returns the time that it took.
func (f *fleet) run(m *Machine, limit timekeeper.Millis) timekeeper.Millis {
	start := f.clock.Clock().Now()
	for f.clock.Clock().Now()-start < limit && f.order.Running() {
		f.round(m, false)
		f.step()
	}
	return f.clock.Clock().Now() - start
}
