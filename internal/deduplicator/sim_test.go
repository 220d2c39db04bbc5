package deduplicator

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"pgregory.net/rapid"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

const (
	simWindow = 20 * timekeeper.Second
	simLead   = 5 * timekeeper.Second
	simZone   = "z"
)

// sim runs one schedule in virtual time.
type sim struct {
	mutex      sync.Mutex
	schedule   schedule
	flags      flags
	start      time.Time
	messages   map[string]int
	processes  map[string]*process
	members    map[string]tracker.Member
	names      []string
	born       map[int]ID
	first      map[string]string    // first answer of an id
	started    map[string]time.Time // first start of an id
	violations []string
}

// draw returns a number that follows from the seed and the subject only.
func (s *sim) draw(limit uint64, subject ...any) uint64 {
	return xxhash.Sum64String(fmt.Sprint(s.schedule.Seed, subject)) % limit
}

func (s *sim) violate(format string, arguments ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, arguments...))
}

// launch starts a process of a name and tells the other members with delay.
func (s *sim) launch(name string) {
	s.mutex.Lock()
	p := &process{
		sim: s, name: name, alive: true, members: maps.Clone(s.members), remembered: make(map[string]bool),
		incarnation: uint64(time.Now().UnixMilli()), clock: timekeeper.Manual(0),
	}
	if p.members == nil {
		p.members = make(map[string]tracker.Member)
	}
	s.mutex.Unlock()
	p.tick()
	since := p.clock.Clock().Now()
	p.service = New(Options{
		Name: name, Incarnation: p.incarnation, Zone: simZone, Clock: p.clock.Clock(), Caller: p, Directory: p,
		OwnerSince: func() timekeeper.Millis { return since }, Window: simWindow, Bytes: 1 << 20, Timeout: 250,
		Placement: &ObservedPlacement{
			Directory: p, Clock: p.clock.Clock(), Lead: simLead, Window: simWindow,
			View: func(string, string) []string { return []string{simZone} },
		},
	})
	p.service.store.flags = s.flags
	s.mutex.Lock()
	s.processes[name] = p
	s.mutex.Unlock()
	s.tell(tracker.Member{Name: name, Zone: simZone, Peer: name, Incarnation: p.incarnation})
}

// tell spreads a change of the member table.
func (s *sim) tell(m tracker.Member) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.members[m.Name] = m
	for _, p := range s.processes {
		if time.Since(s.start) < time.Second || p.name == m.Name {
			p.learn(m)
			continue
		}
		go func() {
			<-time.After(timekeeper.Millis(s.draw(3000, "tell", p.name, m)).Duration())
			s.mutex.Lock()
			defer s.mutex.Unlock()
			p.learn(m)
		}()
	}
}

// apply carries out a fault.
func (s *sim) apply(f fault) {
	s.mutex.Lock()
	name := s.names[f.Node%len(s.names)]
	p := s.processes[name]
	until := time.Now().Add(f.Span.Duration())
	switch f.Kind {
	case "pause":
		p.paused = until
	case "cut":
		p.cut = until
	default:
		p.alive = false
	}
	s.mutex.Unlock()
	switch f.Kind {
	case "restart":
		<-time.After(f.Span.Duration())
		s.launch(name)
	case "replace":
		m, _ := p.Find(name)
		m.Health = tracker.HealthFailed
		s.tell(m)
		s.launch(name + "x")
		s.mutex.Lock()
		s.names[f.Node%len(s.names)] = name + "x"
		s.mutex.Unlock()
	}
}

// naive is the baseline: three tries at different hosts, each of which remembers alone which ids it ran.
func (s *sim) naive(at present, index int) {
	for try := range 3 {
		s.mutex.Lock()
		p := s.processes[s.names[(at.Host+try)%len(s.names)]]
		id := s.identify(at).String()
		fresh := p.alive && !p.remembered[id] && time.Until(p.cut) <= 0
		p.remembered[id] = true
		s.mutex.Unlock()
		if !fresh {
			continue
		}
		p.wait(at.Queued)
		_, ran := s.run(p, id)
		if ran && s.draw(100, "naive", index, try) >= s.schedule.Lossy {
			return
		}
	}
}

// identify returns the id of a presentation, born when it is first presented. The caller holds the lock.
func (s *sim) identify(at present) ID {
	if _, known := s.born[at.ID]; !known {
		random := rand.New(rand.NewPCG(s.schedule.Seed, uint64(at.ID)))
		now := timekeeper.Millis(time.Now().UnixMilli())
		s.born[at.ID] = callerID(now+at.Drift, random)
		if at.Fresh {
			s.born[at.ID] = NewID(now, random, "", nil)
		}
	}
	return s.born[at.ID]
}

// entry presents an id at a host as an entry node does: it settles an attempt that it lost, and sends a second one to
// another host after "not run".
func (s *sim) entry(at present, index int) {
	s.mutex.Lock()
	_, again := s.born[at.ID]
	r := Request{ID: s.identify(at).String(), Attempt: 2*index + 1, Account: "a", Call: "c", Fresh: at.Fresh && !again}
	shown, name := time.Now(), s.names[at.Host%len(s.names)]
	r.Host, r.Incarnation = name, s.processes[name].incarnation
	s.mutex.Unlock()
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() {
		<-time.After(at.Late.Duration())
		s.host(r, at, shown)
	})
	if at.Late <= timekeeper.Second {
		return
	}
	<-time.After(time.Second)
	s.mutex.Lock()
	p := s.processes[name]
	asked := p.alive && time.Until(p.paused) <= 0
	second := r
	second.Attempt++
	second.Host = s.names[(at.Host+1)%len(s.names)]
	second.Incarnation = s.processes[second.Host].incarnation
	s.mutex.Unlock()
	if !asked {
		return
	}
	p.tick()
	if record, err := p.service.Settle(r); err == nil && record.State == StateReleased {
		s.host(second, at, shown)
	}
}

// host runs one attempt at the host node: claim, queue, run, record.
func (s *sim) host(r Request, at present, shown time.Time) {
	s.mutex.Lock()
	p := s.processes[r.Host]
	alive := p.alive
	s.mutex.Unlock()
	if !alive {
		return
	}
	p.wait(0)
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	for ctx.Err() == nil {
		decision, _ := p.service.Claim(ctx, r)
		wait, waits := decision.(Wait)
		if !waits {
			s.carryOut(p, r, at, decision, shown)
			return
		}
		p.wait(wait.After)
	}
}

// carryOut does what was decided and checks it.
func (s *sim) carryOut(p *process, r Request, at present, decision Decision, shown time.Time) {
	switch d := decision.(type) {
	case Refuse:
		s.refused(p, r.ID, d.Error, shown)
	case Replay:
		s.mutex.Lock()
		defer s.mutex.Unlock()
		if p.alive && s.first[r.ID] != string(d.Answer.Body) {
			s.violate("replay of %s is %q instead of %q", r.ID, d.Answer.Body, s.first[r.ID])
		}
	case Proceed:
		r.Sequence = d.Sequence
		p.wait(at.Queued)
		if at.Abandon || p.clock.Clock().Now() > d.Until {
			_ = p.service.Release(context.Background(), r)
			s.refused(p, r.ID, classifier.Refuse(classifier.CodeCanceled, r.ID, "abandoned"), shown)
			return
		}
		if answer, ran := s.run(p, r.ID); ran {
			_ = p.service.Complete(context.Background(), r, Answer{Status: 200, Body: []byte(answer)})
		}
	}
}

// run starts the id on the upstream of the process, unless the process died.
func (s *sim) run(p *process, id string) (string, bool) {
	s.mutex.Lock()
	if !p.alive {
		s.mutex.Unlock()
		return "", false
	}
	if begun, twice := s.started[id]; twice {
		s.violate("%s runs again at %s, after %s", id, p.name, time.Since(begun))
	} else {
		s.started[id], s.first[id] = time.Now(), fmt.Sprint("answer of ", p.name, p.incarnation)
	}
	s.mutex.Unlock()
	p.wait(timekeeper.Millis(s.draw(400, "run", id)))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return fmt.Sprint("answer of ", p.name, p.incarnation), p.alive
}

// refused checks that an answer "not run" is true: no attempt had started when this one was presented.
func (s *sim) refused(p *process, id string, err *classifier.Error, shown time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	begun, ran := s.started[id]
	if p.alive && err.Outcome == classifier.OutcomeNotRun && ran && begun.Before(shown) {
		s.violate("%s is refused as not run by %v, but ran", id, err)
	}
}

// simulate runs a schedule and returns its end.
func simulate(t *testing.T, plan schedule, enabled flags, attempt func(*sim, present, int)) *sim {
	s := &sim{
		schedule: plan, flags: enabled, messages: make(map[string]int), processes: make(map[string]*process),
		members: make(map[string]tracker.Member), born: make(map[int]ID),
		first: make(map[string]string), started: make(map[string]time.Time),
	}
	synctest.Test(t, func(*testing.T) {
		s.start = time.Now()
		for i := range 5 {
			s.names = append(s.names, fmt.Sprintf("n%d", i))
			s.launch(s.names[i])
		}
		var group sync.WaitGroup
		for _, f := range plan.Faults {
			group.Go(func() {
				<-time.After((10*timekeeper.Second + f.At).Duration())
				s.apply(f)
			})
		}
		for i, at := range plan.Presents {
			group.Go(func() {
				<-time.After((10*timekeeper.Second + at.At).Duration())
				attempt(s, at, i)
			})
		}
		group.Wait()
		<-time.After(time.Minute) // late messages arrive
	})
	return s
}

// Guards against second runs, false "not run" answers and wrong replays under kills, restarts, replacements, pauses,
// cuts, lost, duplicated, delayed and reordered messages, repeats through other hosts and skewed clocks.
func TestAtMostOnce(t *testing.T) {
	presented, started := 0, 0
	rapid.Check(t, func(rt *rapid.T) {
		s := simulate(t, schedules(rt), flags{}, (*sim).entry)
		if len(s.violations) > 0 {
			rt.Fatalf("violations: %q", s.violations)
		}
		presented, started = presented+len(s.born), started+len(s.started)
	})
	t.Logf("%d of %d ids ran", started, presented)
	if 3*started < presented {
		t.Errorf("only %d of %d ids ran: the schedules prove little", started, presented)
	}
}

// Guards against schedules too weak to find a fault: the naive version and versions without a rule must fail.
func TestSchedulesFindFaults(t *testing.T) {
	for name, c := range map[string]struct {
		off     flags
		attempt func(*sim, present, int)
	}{
		"naive":            {flags{}, (*sim).naive},
		"one grant":        {flags{singleGrant: true}, (*sim).entry},
		"uncertain owners": {flags{ignoreStart: true}, (*sim).entry},
		"fresh ids again":  {flags{reclaimGenerated: true}, (*sim).entry},
	} {
		found := 0
		generator := rapid.Custom(schedules)
		for seed := 0; seed < 1500 && found == 0; seed++ {
			found = len(simulate(t, generator.Example(seed), c.off, c.attempt).violations)
		}
		if found == 0 {
			t.Errorf("%s: no violation found", name)
		}
	}
}
