package tracker

import (
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// maxTraffic is the design limit (docs/design.md) on all control traffic of a node, in bytes per second.
const maxTraffic = 29_000

// Guards against membership traffic that exceeds the limit on the control traffic of a node: at rest, with 10
// configuration changes a minute, and after a rack of 20 nodes crashes.
func TestTrafficOfLargeMesh(t *testing.T) {
	s := newSimulation(3, 3, 67)
	if !s.converge(60 * timekeeper.Second) {
		t.Fatal(s.disagreement())
	}
	measure := func(name string, seconds int, eachSecond func(second int)) {
		s.trafficBytes = make(map[*node]int)
		for second := range seconds {
			eachSecond(second)
			s.advance(timekeeper.Second)
		}
		highest, sum := 0, 0
		for _, bytes := range s.trafficBytes {
			highest, sum = max(highest, bytes), sum+bytes
		}
		t.Logf("%s: mean %d, highest %d bytes/s", name, sum/len(s.nodes)/seconds, highest/seconds)
		if highest/seconds > maxTraffic {
			t.Errorf("%s: node with the most traffic has %d bytes/s, the limit is %d", name, highest/seconds, maxTraffic)
		}
	}
	measure("rest", 30, func(int) {})
	version := uint64(0)
	measure("changes", 30, func(second int) {
		if second%6 > 0 {
			return
		}
		version++
		for _, n := range s.nodes {
			n.m.setVersions(s.now, version, version)
		}
	})
	measure("rack", 30, func(second int) {
		for _, n := range s.nodes[:20] {
			n.killed = n.killed || second == 0
		}
	})
	if !s.converge(30 * timekeeper.Second) {
		t.Error(s.disagreement())
	}
}

// BenchmarkPing measures the processing of a ping in a mesh of 201 nodes, with and without a new version at the sender.
func BenchmarkPing(b *testing.B) {
	s := newSimulation(3, 3, 67)
	s.advance(30 * timekeeper.Second)
	n, from := s.nodes[0].m, s.nodes[3].m
	for name, step := range map[string]uint64{"unchanged": 0, "version": 1} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				from.self.Known += step
				n.Step(s.now, pingReceived{ping: from.ping("node-0")})
			}
		})
	}
}
