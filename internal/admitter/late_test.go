package admitter

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// startOrder occupies the only slot, queues the waiting tickets, finishes one running request after the other and
// returns the calls in the order of their starts.
func startOrder(m *Machine, waiting ...*Ticket) []string {
	first := &Ticket{Work: Work{Call: "first", Deadline: timekeeper.Minute}}
	m.Step(0, Arrive{first})
	for _, t := range waiting {
		m.Step(0, Arrive{t})
	}
	var order []string
	running := first
	for range waiting {
		for _, action := range m.Step(1, Finish{running}) {
			if s, ok := action.(Start); ok {
				running = s.Ticket
				order = append(order, s.Ticket.Call)
			}
		}
	}
	return order
}

func newTicket(call string, order int, late bool) *Ticket {
	return &Ticket{Work: Work{Call: call, Order: order, Target: 10000, Deadline: timekeeper.Minute, Late: late}}
}

// Guards against late requests that delay requests which can still meet their target.
func TestLateRequestsStartLast(t *testing.T) {
	got := startOrder(NewMachine(1, 10), newTicket("late urgent", 0, true), newTicket("less urgent", 2, false),
		newTicket("urgent", 0, false))
	if diff := cmp.Diff([]string{"urgent", "less urgent", "late urgent"}, got); diff != "" {
		t.Errorf("order differs (-want +got):\n%s", diff)
	}
}

// Guards against a rank that is starved by a flood of requests of a more urgent rank.
func TestEachRankKeepsItsShare(t *testing.T) {
	for _, c := range []struct{ share, want int }{{0, 0}, {20, 2}} {
		m := NewMachine(1, 100)
		m.minShare = c.share
		waiting := make([]*Ticket, 0, 40)
		for range 20 {
			waiting = append(waiting, newTicket("urgent", 0, false), newTicket("patient", 2, false))
		}
		started := 0
		for _, call := range startOrder(m, waiting...)[:10] {
			if call == "patient" {
				started++
			}
		}
		if started != c.want {
			t.Errorf("share %d: %d of 10 starts", c.share, started)
		}
	}
}

// Guards against a request that starts although its deadline passes before it can end: its outcome would be unknown.
func TestNoStartTooCloseToDeadline(t *testing.T) {
	m := NewMachine(1, 10)
	first := &Ticket{Work: Work{Call: "call", Deadline: timekeeper.Minute}}
	m.Step(0, Arrive{first})
	m.Step(200, Finish{first}) // a service time of 200 ms
	running := &Ticket{Work: Work{Call: "call", Deadline: timekeeper.Minute}}
	m.Step(200, Arrive{running})
	waiting := &Ticket{Work: Work{Call: "call", Deadline: 700}}
	m.Step(200, Arrive{waiting})
	got := m.Step(630, Finish{running})
	want := []Action{Refuse{Ticket: waiting, Code: classifier.CodeDeadlinePassed}}
	if diff := cmp.Diff(want, got, cmp.Comparer(func(a, b *Ticket) bool { return a == b })); diff != "" {
		t.Errorf("actions differ (-want +got):\n%s", diff)
	}
}
