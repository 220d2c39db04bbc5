package router

import (
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// reported tells a picker the average service time of a call at a member.
func reported(p *Picker, name string, span timekeeper.Millis) {
	p.Started(name)
	p.Finished(name, Report{Request: Request{Service: "s"}, Latency: span, Reported: true, ServiceTime: span})
}

// Guards against work for a slow upstream while a faster one is idle, and against one that gets none while the faster
// ones are full. Without the pace, both get half.
func TestFasterUpstreamFirst(t *testing.T) {
	for _, off := range []bool{false, true} {
		clock := timekeeper.Manual(1_000_000)
		p, _ := newPicker(clock.Clock(), member("fast", "near"), member("slow", "near"))
		p.noPace = off
		for range 50 {
			reported(p, "fast", 100)
			reported(p, "slow", 500)
		}
		for range 6 {
			if got := pick(t, p); got != "fast" && !off {
				t.Errorf("idle: picked %s", got)
			}
			p.Started("fast")
		}
		for range 20 {
			p.Started("fast")
		}
		if got := pick(t, p); got != "slow" {
			t.Errorf("pace off %v: full: picked %s", off, got)
		}
	}
	clock := timekeeper.Manual(1_000_000)
	p, _ := newPicker(clock.Clock(), member("fast", "near"), member("slow", "near"))
	p.noPace = true
	slow := 0
	for range 100 {
		if pick(t, p) == "slow" {
			slow++
		}
	}
	if slow < 30 {
		t.Errorf("without the pace %d of 100 went to the slow one", slow)
	}
}

// Guards against an upstream that fails part of its runs and is found out by each node on its own, request by request:
// its host node sees all of them. The report loses its weight, so that the upstream is tried again.
func TestReportedFaultsKeepWorkAway(t *testing.T) {
	clock := timekeeper.Manual(1_000_000)
	p, _ := newPicker(clock.Clock(), member("sound", "near"), member("faulty", "near"))
	share := func() int {
		count := 0
		for range 100 {
			if pick(t, p) == "faulty" {
				count++
			}
		}
		return count
	}
	p.Started("faulty")
	p.Finished("faulty", Report{Request: Request{Service: "s"}, Reported: true, FailurePermille: 400, Latency: 10})
	if got := share(); got > 0 {
		t.Errorf("%d of 100 go to the faulty upstream", got)
	}
	for range 4 {
		p.Started("sound")
	}
	clock.Advance(5 * errorHalfLife)
	if got := share(); got == 0 {
		t.Error("the upstream is never tried again")
	}
}
