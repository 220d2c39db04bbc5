package admitter

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// explore drives a machine with random events and returns the first violation found, or "".
func explore(t *rapid.T, adjust func(*Machine)) string {
	slots := rapid.IntRange(1, 3).Draw(t, "slots")
	m := NewMachine(slots, rapid.IntRange(1, 4).Draw(t, "limit"))
	adjust(m)
	now := timekeeper.Millis(1000)
	var tickets []*Ticket
	starts, refusals, busy := make(map[*Ticket]int), make(map[*Ticket]int), make(map[*Ticket]bool)
	closed := false
	step := func(event Event) string {
		for _, action := range m.Step(now, event) {
			switch a := action.(type) {
			case Start:
				starts[a.Ticket]++
				busy[a.Ticket] = true
				if a.Ticket.Deadline <= now {
					return "work was started after its deadline"
				}
			case Refuse:
				refusals[a.Ticket]++
			}
		}
		for _, one := range tickets {
			if starts[one]+refusals[one] > 1 {
				return "work was started or refused twice"
			}
		}
		if len(busy) > slots {
			return "more work runs than there are slots"
		}
		return ""
	}
	for range rapid.IntRange(1, 60).Draw(t, "steps") {
		now += timekeeper.Millis(rapid.IntRange(0, 40).Draw(t, "pause"))
		var event Event
		pick := rapid.IntRange(0, 9).Draw(t, "event")
		switch {
		case pick < 4 || len(tickets) == 0:
			one := &Ticket{Work: Work{
				Account: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "account"), Call: "c",
				Order: rapid.IntRange(0, 2).Draw(t, "order"), Share: 30, Deadline: now + 100,
			}}
			tickets = append(tickets, one)
			event = Arrive{one}
		case pick < 7:
			one := rapid.SampledFrom(tickets).Draw(t, "finish")
			delete(busy, one)
			event = Finish{one}
		case pick < 8:
			one := rapid.SampledFrom(tickets).Draw(t, "cancel")
			delete(busy, one)
			event = Cancel{one}
		case pick < 9:
			event = Expire{}
		default:
			closed = closed || rapid.IntRange(0, 9).Draw(t, "close") == 0
			if event = (Expire{}); closed {
				event = Close{}
			}
		}
		if found := step(event); found != "" {
			return found
		}
	}
	for i := range tickets {
		delete(busy, tickets[i])
		if found := step(Finish{tickets[i]}); found != "" {
			return found
		}
		if found := step(Cancel{tickets[i]}); found != "" {
			return found
		}
	}
	if load := m.Load(); load.Running != 0 || load.Queued != 0 {
		return "slots or places in the queue are lost"
	}
	return ""
}

// Guards against a slot that is lost or used twice, and refused work that starts, under any order of events.
func TestSlotsUnderAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if found := explore(t, func(*Machine) {}); found != "" {
			t.Fatal(found)
		}
	})
	found := ""
	rapid.Check(t, func(t *rapid.T) {
		if violation := explore(t, func(m *Machine) { m.noPhases = true }); violation != "" {
			found = violation
		}
	})
	if found == "" {
		t.Error("without phases no slot is lost or used twice either")
	}
}

// Guards against waiting work that goes by arrival where a deadline is closer.
func TestEarliestDeadlineFirst(t *testing.T) {
	m := NewMachine(1, 10)
	first, late, early := &Ticket{}, &Ticket{}, &Ticket{}
	first.Deadline, late.Deadline, early.Deadline = 1000, 900, 500
	for _, one := range []*Ticket{first, late, early} {
		m.Step(0, Arrive{one})
	}
	actions := m.Step(10, Finish{first})
	if len(actions) != 1 || actions[0] != (Start{early}) {
		t.Fatalf("actions %v", actions)
	}
}

// Guards against a flooding flow that fills the bounded queue and so keeps others of its rank out.
func TestFullQueueMakesRoom(t *testing.T) {
	m := NewMachine(1, 3)
	for range 4 {
		m.Step(0, Arrive{&Ticket{Work: Work{Account: "flood", Deadline: 1000}}})
	}
	other := &Ticket{Work: Work{Account: "other", Deadline: 1000}}
	actions := m.Step(0, Arrive{other})
	if refuse, ok := actions[0].(Refuse); !ok || refuse.Ticket == other || m.Load().Queued != 3 {
		t.Fatalf("actions %v", actions)
	}
}

func admit(ctx context.Context, q *Queue, deadline timekeeper.Millis) (func(), classifier.Code) {
	release, err := q.Admit(ctx, Work{Account: "a", Call: "c", Deadline: deadline})
	return release, classifier.CodeOf(err)
}

// Guards against queued work that outlives its caller or its deadline, and against a drain that admits new work or cuts
// off admitted work.
func TestQueueEndsWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := timekeeper.System()
		q := New(Options{Clock: clock, Slots: 1})
		release, _ := admit(t.Context(), q, clock.Now()+1000)
		_, code := admit(t.Context(), q, clock.Now()+50)
		if code != classifier.CodeDeadlinePassed {
			t.Errorf("code %d at the deadline", code)
		}
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(20*time.Millisecond, cancel)
		if _, code = admit(ctx, q, clock.Now()+500); code != classifier.CodeCanceled {
			t.Errorf("code %d after the caller went away", code)
		}
		ended := make(chan classifier.Code)
		go func() {
			after, code := admit(t.Context(), q, clock.Now()+500)
			if after != nil {
				after()
			}
			ended <- code
		}()
		synctest.Wait()
		q.Drain()
		if _, code = admit(t.Context(), q, clock.Now()+500); code != classifier.CodeDraining {
			t.Errorf("code %d while draining", code)
		}
		release()
		release()
		if code = <-ended; code != classifier.CodeOK {
			t.Errorf("code %d for work admitted before the drain", code)
		}
		if load := q.Load(); load.Running != 0 || load.Queued != 0 {
			t.Errorf("load %+v", load)
		}
	})
}

// BenchmarkAdmit measures admission and release of one call on an idle queue, with all processors at one lock.
func BenchmarkAdmit(b *testing.B) {
	q := New(Options{Clock: timekeeper.System(), Slots: 1 << 20})
	work := Work{Account: "a", Call: "c", Order: 1, Share: 50, Target: 200, Deadline: 1 << 60}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			release, err := q.Admit(context.Background(), work)
			if err != nil {
				b.Error(err)
				return
			}
			release()
		}
	})
}
