package router

import (
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// reported tells a picker the average service time of a call at a member.
func reported(p *Picker, name string, span timekeeper.Millis) {
	p.Started(name)
	p.Finished(name, Report{Request: Request{Service: "s"}, Latency: span, Reported: true, Span: span})
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
