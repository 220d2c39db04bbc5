package router

import (
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// reportServiceTime reports the average service time of a call at a member to a picker.
func reportServiceTime(p *Picker, name string, serviceTime timekeeper.Millis) {
	p.RecordStart(name)
	p.RecordEnd(name, Report{
		Request: Request{Service: "s"}, Latency: serviceTime, HasLoad: true,
		ServiceTime: serviceTime,
	})
}

// Guards against requests to a slow upstream while a faster one is idle, and against a slow upstream that gets none
// while the faster one is full. Without relative service times, both get half.
func TestFasterUpstreamIsPreferred(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		clock := timekeeper.Manual(1_000_000)
		p, _ := newPicker(clock.Clock(), member("fast", "near"), member("slow", "near"))
		p.noServiceTimes = disabled
		for range 50 {
			reportServiceTime(p, "fast", 100)
			reportServiceTime(p, "slow", 500)
		}
		for range 6 {
			if got := pick(t, p); got != "fast" && !disabled {
				t.Errorf("idle: picked %s", got)
			}
			p.RecordStart("fast")
		}
		for range 20 {
			p.RecordStart("fast")
		}
		if got := pick(t, p); got != "slow" {
			t.Errorf("service times off %v: full: picked %s", disabled, got)
		}
	}
	clock := timekeeper.Manual(1_000_000)
	p, _ := newPicker(clock.Clock(), member("fast", "near"), member("slow", "near"))
	p.noServiceTimes = true
	slow := 0
	for range 100 {
		if pick(t, p) == "slow" {
			slow++
		}
	}
	if slow < 30 {
		t.Errorf("without service times %d of 100 went to the slow upstream", slow)
	}
}

// Guards against an upstream that fails some of its runs and is avoided only after each entry node has seen failures of
// its own. The host node sees all runs and reports the rate, which decays, so that the upstream is tried again.
func TestReportedFailuresDivertRequests(t *testing.T) {
	clock := timekeeper.Manual(1_000_000)
	p, _ := newPicker(clock.Clock(), member("sound", "near"), member("faulty", "near"))
	countFaulty := func() int {
		count := 0
		for range 100 {
			if pick(t, p) == "faulty" {
				count++
			}
		}
		return count
	}
	p.RecordStart("faulty")
	p.RecordEnd("faulty", Report{Request: Request{Service: "s"}, HasLoad: true, FailurePermille: 400, Latency: 10})
	if got := countFaulty(); got > 0 {
		t.Errorf("%d of 100 go to the faulty upstream", got)
	}
	for range 4 {
		p.RecordStart("sound")
	}
	clock.Advance(5 * errorHalfLife)
	if got := countFaulty(); got == 0 {
		t.Error("the upstream is never tried again")
	}
}
