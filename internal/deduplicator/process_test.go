package deduplicator

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// process is a simulated process of a node. A restart creates a new one.
type process struct {
	sim              *sim
	name             string
	incarnation      uint64
	clock            *timekeeper.ManualClock
	service          *Service
	ranIDs           map[string]bool // ids run, for naiveEntry
	members          map[string]tracker.Member
	listed           []tracker.Member
	alive            bool
	pausedUntil      time.Time
	partitionedUntil time.Time
}

// wait waits in virtual time for the duration, and then until the end of a pause of the process.
func (p *process) wait(duration timekeeper.Millis) {
	<-time.After(duration.Duration())
	p.sim.mutex.Lock()
	rest := time.Until(p.pausedUntil)
	p.sim.mutex.Unlock()
	if rest > 0 {
		<-time.After(rest)
	}
	p.updateClock()
}

// updateClock sets the process's clock to virtual time plus the process's skew.
func (p *process) updateClock() {
	p.sim.mutex.Lock()
	defer p.sim.mutex.Unlock()
	elapsed := timekeeper.FromDuration(time.Since(p.sim.start))
	skew := timekeeper.Millis(p.sim.draw(2000, "skew", p.name, p.incarnation)) - 1000
	p.clock.Advance(timekeeper.Millis(p.sim.start.UnixMilli()) + elapsed + skew - p.clock.Clock().Now())
}

func (p *process) Zone(string) []tracker.Member {
	p.sim.mutex.Lock()
	defer p.sim.mutex.Unlock()
	return p.listed
}

func (p *process) Find(name string) (tracker.Member, bool) {
	p.sim.mutex.Lock()
	defer p.sim.mutex.Unlock()
	m, found := p.members[name]
	return m, found
}

// updateMember updates the member table of a process. The caller holds the lock.
func (p *process) updateMember(m tracker.Member) {
	if old, found := p.members[m.Name]; found && !m.Newer(&old) {
		return
	}
	p.members[m.Name] = m
	p.listed = slices.Collect(maps.Values(p.members))
}

// Call sends a message that may be lost, delayed, duplicated or reordered. The reply may also be lost or delayed.
func (p *process) Call(
	ctx context.Context, peer, method string, arguments, reply any, timeout timekeeper.Millis,
) error {
	s := p.sim
	s.mutex.Lock()
	key := fmt.Sprint(p.name, p.incarnation, peer, method, arguments)
	s.messages[key]++
	key = fmt.Sprint(key, s.messages[key])
	s.mutex.Unlock()
	done := make(chan func() error, 2)
	copies := 1
	if s.draw(100, key, "copies") < s.schedule.LossPercent {
		copies = 2
	}
	for i := range copies {
		go p.deliver(peer, fmt.Sprint(key, i), arguments, reply, done)
	}
	defer p.wait(0)
	select {
	case finish := <-done:
		return finish()
	case <-time.After(timeout.Duration()):
	case <-ctx.Done():
	}
	return errors.New("no reply")
}

// deliver delivers a copy of a message to the process that has the peer's name on arrival.
func (p *process) deliver(peer, key string, arguments, reply any, done chan<- func() error) {
	s := p.sim
	delay := timekeeper.Millis(1 + s.draw(30, key, "span"))
	if s.draw(100, key, "late") < s.schedule.LossPercent {
		delay = timekeeper.Millis(s.draw(6000, key, "delay"))
	}
	<-time.After(delay.Duration() + time.Duration(s.draw(1e6, key, "jitter")))
	s.mutex.Lock()
	q := s.processes[peer]
	lost := s.draw(100, key, "lost") < s.schedule.LossPercent || q == nil || !q.alive || !p.alive ||
		time.Until(q.partitionedUntil) > 0 || time.Until(p.partitionedUntil) > 0
	s.mutex.Unlock()
	if lost {
		return
	}
	q.wait(0)
	result := reflect.New(reflect.TypeOf(reply).Elem())
	err := q.service.handleLocally(arguments, result.Interface())
	if s.draw(100, key, "reply lost") < s.schedule.LossPercent {
		return
	}
	<-time.After(timekeeper.Millis(1 + s.draw(30, key, "back")).Duration())
	done <- func() error {
		reflect.ValueOf(reply).Elem().Set(result.Elem())
		return err
	}
}
