package router

import (
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against an upstream with a stated limit that is sent as many requests as one with all its slots, since few of
// its requests run at once, and against one that gets none any more after its limit has ended.
func TestLimitedUpstreamGetsItsShare(t *testing.T) {
	clock := timekeeper.Manual(1_000_000)
	p, _ := newPicker(clock.Clock(), member("free", "near"), member("limited", "near"))
	share := func(capacity int) int {
		counts := make(map[string]int)
		var running []string
		for range 600 {
			clock.Advance(10)
			if len(running) >= 4 { // 4 calls at once, for 40 ms each
				report := Report{Latency: 40, HasLoad: true}
				if running[0] == "limited" {
					report.Capacity = capacity
				}
				p.RecordEnd(running[0], report)
				running = running[1:]
			}
			name := pick(t, p)
			p.RecordStart(name)
			counts[name]++
			running = append(running, name)
		}
		for _, name := range running {
			p.RecordEnd(name, Report{Latency: 40, HasLoad: true})
		}
		return counts["limited"]
	}
	if got := share(600); got > 60 {
		t.Errorf("an upstream whose limit keeps 0.6 of 6 slots busy got %d of 600 requests", got)
	}
	if got := share(0); got < 200 || got > 400 {
		t.Errorf("the upstream got %d of 600 requests after its limit had ended", got)
	}
}
