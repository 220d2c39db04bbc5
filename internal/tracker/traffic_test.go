package tracker

import (
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// maxTraffic is the limit of the design page on all control traffic of a node, in bytes a second.
const maxTraffic = 29_000

// Guards against membership traffic that leaves no room in the control budget of a node: at rest, with 10
// configuration changes a minute, and while a rack of nodes dies.
func TestTrafficOfLargeMesh(t *testing.T) {
	w := newWorld(3, 3, 67)
	if !w.settle(60 * timekeeper.Second) {
		t.Fatal(w.disagreement())
	}
	measure := func(name string, seconds int, each func(second int)) {
		w.sizes = make(map[*node]int)
		for second := range seconds {
			each(second)
			w.advance(timekeeper.Second)
		}
		most, sum := 0, 0
		for _, bytes := range w.sizes {
			most, sum = max(most, bytes), sum+bytes
		}
		t.Logf("%s: mean %d, highest %d bytes/s", name, sum/len(w.nodes)/seconds, most/seconds)
		if most/seconds > maxTraffic {
			t.Errorf("%s: node with the most traffic has %d bytes/s, the limit is %d", name, most/seconds, maxTraffic)
		}
	}
	measure("rest", 30, func(int) {})
	version := uint64(0)
	measure("changes", 30, func(second int) {
		if second%6 > 0 {
			return
		}
		version++
		for _, n := range w.nodes {
			n.m.setVersions(w.now, version, version)
		}
	})
	measure("rack", 30, func(second int) {
		for _, n := range w.nodes[:20] {
			n.killed = n.killed || second == 0
		}
	})
	if !w.settle(30 * timekeeper.Second) {
		t.Error(w.disagreement())
	}
}

// BenchmarkPing measures the answer to a ping in a mesh of 201 nodes, without and with a new version at the sender.
func BenchmarkPing(b *testing.B) {
	w := newWorld(3, 3, 67)
	w.advance(30 * timekeeper.Second)
	n, from := w.nodes[0].m, w.nodes[3].m
	for name, step := range map[string]uint64{"unchanged": 0, "version": 1} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				from.self.Known += step
				n.Step(w.now, pingReceived{ping: from.ping("node-0")})
			}
		})
	}
}
