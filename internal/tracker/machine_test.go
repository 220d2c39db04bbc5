package tracker

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against tables that stay different after kills, pauses, restarts under the same name, and lost, duplicated
// and reordered messages. An older entry must never replace a newer one on the way.
func TestMembershipConvergesAfterFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), 3, 4)
		if !w.settle(20 * timekeeper.Second) {
			t.Fatalf("start: %s", w.disagreement())
		}
		w.loss = rapid.Float64Range(0, 0.3).Draw(t, "loss")
		w.duplicate = rapid.Float64Range(0, 0.3).Draw(t, "duplicate")
		w.delay = timekeeper.Millis(rapid.Int64Range(1, 300).Draw(t, "delay"))
		held := make(map[*node]map[string]Stamp)
		w.seen = func(n *node) {
			for name := range n.m.table.zones {
				now := stampOf(&n.m.table.find(name).member)
				if before, ok := held[n][name]; ok && before.newer(now) {
					t.Fatalf("%s replaced %+v of %s with %+v", n.name, before, name, now)
				}
				if held[n] == nil {
					held[n] = make(map[string]Stamp)
				}
				held[n][name] = now
			}
		}
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "node")]
			switch rapid.SampledFrom([]string{"kill", "pause", "restart"}).Draw(t, "fault") {
			case "kill":
				n.killed = true
			case "pause":
				n.pausedUntil = w.now + timekeeper.Millis(rapid.Int64Range(100, 20_000).Draw(t, "pause"))
			case "restart":
				delete(held, n)
				w.start(n)
			}
			w.advance(timekeeper.Millis(rapid.Int64Range(0, 5000).Draw(t, "gap")))
		}
		w.loss, w.duplicate, w.delay = 0, 0, 10
		w.advance(20 * timekeeper.Second) // ends every pause
		if !w.settle(2 * timekeeper.Minute) {
			t.Fatalf("end: %s", w.disagreement())
		}
	})
}
