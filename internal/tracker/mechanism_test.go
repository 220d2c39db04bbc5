package tracker

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// settled returns a world of one or more data centres in which all nodes agree.
func settled(t *testing.T, zones, perZone int, off switches) *world {
	t.Helper()
	w := newWorld(7, zones, perZone)
	if !w.settle(20 * timekeeper.Second) {
		t.Fatal(w.disagreement())
	}
	for _, n := range w.nodes {
		n.m.off = off
	}
	return w
}

// Guards against a member that stays failed after a pause. Without refutation it does.
func TestPausedMemberRefutes(t *testing.T) {
	for _, off := range []bool{false, true} {
		w := settled(t, 1, 6, switches{refutation: off})
		paused := w.nodes[3]
		paused.pausedUntil = w.now + 11*timekeeper.Second
		w.advance(10 * timekeeper.Second)
		if h := w.nodes[0].m.table.find(paused.name).member.Health; h != HealthFailed {
			t.Fatalf("paused member has health %d, not failed", h)
		}
		w.advance(10 * timekeeper.Second)
		alive := true
		for _, n := range w.nodes {
			alive = alive && n.m.table.find(paused.name).member.Health == HealthAlive
		}
		if alive == off {
			t.Errorf("refutation off %v: alive again on all nodes is %v", off, alive)
		}
	}
}

// Guards against an older entry that replaces a newer one. Without the order it does.
func TestOlderEntryIsIgnored(t *testing.T) {
	for _, off := range []bool{false, true} {
		w := settled(t, 1, 3, switches{order: off})
		n := w.nodes[0]
		newer := n.m.table.find("node-1").member
		older := newer
		older.Sequence--
		older.Slots = 99
		w.step(n, exchangeReceived{exchange: Exchange{Format: Format, Updates: []Update{{Member: older}}}})
		if kept := n.m.table.find("node-1").member == newer; kept == off {
			t.Errorf("order off %v: newer entry kept %v", off, kept)
		}
	}
}

// Guards against data centres that stay different after a cut. Without the comparison of digests they do.
func TestDataCentresAgreeAfterCut(t *testing.T) {
	for _, off := range []bool{false, true} {
		w := settled(t, 3, 3, switches{exchange: off})
		w.cut = func(a, b *node) bool { return a.zone != b.zone }
		w.step(w.nodes[0], selfChanged{change: func(m *Member) { m.State = StateDraining }})
		w.advance(2 * timekeeper.Second)
		w.cut = nil
		if agreed := w.settle(15 * timekeeper.Second); agreed == off {
			t.Errorf("exchange off %v: agreed %v", off, agreed)
		}
	}
}

// Guards against two halves that never find each other again after both took the other one for failed. Without the
// retry of failed addresses they do not.
func TestHalvesFindBack(t *testing.T) {
	for _, off := range []bool{false, true} {
		w := settled(t, 1, 8, switches{retry: off})
		half := map[*node]bool{w.nodes[0]: true, w.nodes[1]: true, w.nodes[2]: true, w.nodes[3]: true}
		w.cut = func(a, b *node) bool { return half[a] != half[b] }
		w.advance(30 * timekeeper.Second)
		w.cut = nil
		if agreed := w.settle(30 * timekeeper.Second); agreed == off {
			t.Errorf("retry off %v: agreed %v", off, agreed)
		}
	}
}

// Guards against a node that, after its own pause, fails the members whose time to refute ran out meanwhile. Without
// the detection of its own pause it does.
func TestOwnPauseFailsNobody(t *testing.T) {
	for _, off := range []bool{false, true} {
		w := settled(t, 1, 3, switches{pause: off})
		n := w.nodes[0]
		suspect := n.m.table.find("node-1").member
		suspect.Health = HealthSuspect
		n.m.Step(w.now, exchangeReceived{exchange: Exchange{Format: Format, Updates: []Update{{Member: suspect}}}})
		n.m.Step(w.now+10*timekeeper.Second, tick{})
		if failed := n.m.table.find("node-1").member.Health == HealthFailed; failed != off {
			t.Errorf("pause detection off %v: failed %v", off, failed)
		}
	}
}

// Guards against a leaving member that the others have to detect as failed, and against work sent to it.
func TestLeaveIsKnownAtOnce(t *testing.T) {
	w := settled(t, 3, 4, switches{})
	left := w.nodes[5]
	w.step(left, leaveAsked{})
	w.advance(50)
	left.killed = true
	w.advance(2 * timekeeper.Second)
	for _, n := range w.nodes {
		if m := n.m.table.find(left.name).member; !n.killed && m.Health != HealthLeft {
			t.Errorf("%s holds the member that left with health %d", n.name, m.Health)
		}
	}
}

// Guards against a relay election that differs between nodes, keeps a suspected relay, or changes without a reason.
func TestRelaysFollowMembership(t *testing.T) {
	w := settled(t, 2, 6, switches{})
	first := w.nodes[0].m.table.snapshot.Load().zones["zone-0"].relays
	for _, n := range w.nodes {
		if diff := cmp.Diff(first, n.m.table.snapshot.Load().zones["zone-0"].relays); diff != "" {
			t.Fatalf("%s elects differently:\n%s", n.name, diff)
		}
	}
	w.byAddress[first[0].Name].killed = true
	w.advance(4 * timekeeper.Second)
	for _, n := range w.nodes {
		relays := n.m.table.snapshot.Load().zones["zone-0"].relays
		if !n.killed && (relays[0].Name != first[1].Name || relays[1].Name == first[0].Name) {
			t.Errorf("%s: relays are %s and %s after %s was killed", n.name, relays[0].Name, relays[1].Name, first[0].Name)
		}
	}
}

// Guards against a process whose clock is behind that of the one before it under the same name: its entry would stay
// hidden behind the older one.
func TestIncarnationRisesAboveOlderRecord(t *testing.T) {
	w := settled(t, 1, 4, switches{})
	n := w.nodes[3]
	old := n.m.self.Incarnation
	w.now -= 100_000
	n.killed = true
	w.start(n)
	w.now += 100_000
	if !w.settle(20*timekeeper.Second) || n.m.self.Incarnation <= old {
		t.Errorf("incarnation is %d after %d: %s", n.m.self.Incarnation, old, w.disagreement())
	}
}

// Guards against dead entries that stay for ever because nodes hand them back and forth while they drop them.
func TestDeadEntriesAreDropped(t *testing.T) {
	w := settled(t, 2, 4, switches{})
	w.nodes[7].killed = true
	w.advance(9 * timekeeper.Minute)
	if w.nodes[0].m.table.find("node-7") == nil {
		t.Error("failed member was dropped before its time")
	}
	w.advance(90 * timekeeper.Second)
	for _, n := range w.nodes[:7] {
		if n.m.table.find("node-7") != nil {
			t.Errorf("%s still holds the failed member", n.name)
		}
	}
}

// Guards against nonsense from a peer that changes the table or ends the process instead of getting a 3xx code.
func TestNonsenseLeavesTableUntouched(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(1, 1, 2)
		m := w.nodes[0].m
		before := m.table.shards["zone-0"].digest
		good := Member{Name: "x", Zone: "zone-0", Incarnation: 1}
		bad := good
		switch rapid.IntRange(0, 6).Draw(t, "field") {
		case 0:
			bad.Name = ""
		case 1:
			bad.Zone = string(make([]byte, maxName+1))
		case 2:
			bad.Incarnation = uint64(w.now+maxAhead) + rapid.Uint64Range(1, 1<<62).Draw(t, "incarnation")
		case 3:
			bad.Sequence = maxSequence + rapid.Uint64Range(1, 1<<62).Draw(t, "sequence")
		case 4:
			bad.Health = Health(rapid.IntRange(4, 255).Draw(t, "health"))
		case 5:
			bad.State = State(rapid.IntRange(3, 255).Draw(t, "state"))
		case 6:
			bad.Slots = -rapid.IntRange(1, 1<<40).Draw(t, "slots")
		}
		for _, e := range []Event{
			pingReceived{ping: Ping{Format: Format, From: bad}},
			pingReceived{ping: Ping{Format: Format + 1, From: good}},
			exchangeReceived{exchange: Exchange{Format: Format, Updates: []Update{{Member: good}, {Member: bad}}}},
			exchangeReceived{exchange: Exchange{Format: Format, Zone: "zone-0", Stamps: []Stamp{{Health: 9}}}},
			indirectReceived{indirect: Indirect{Format: Format, Target: "127.0.0.1:1"}},
		} {
			if code := classifier.CodeOf(w.step(w.nodes[0], e).failure); code/100 != 3 {
				t.Fatalf("%T got code %d", e, code)
			}
		}
		if m.table.shards["zone-0"].digest != before {
			t.Fatal("table changed")
		}
	})
}

// Guards against a message that the decoder accepts and the machine cannot bear.
func FuzzMessages(f *testing.F) {
	member := Member{Name: "node-1", Zone: "zone-0", Peer: "node-1", Incarnation: 2, Sequence: 9, Health: HealthFailed}
	for _, message := range []any{
		Ping{Format: Format, From: member, About: stampOf(&member), Digests: []Digest{{Zone: "z", Hash: 1}}},
		Exchange{Format: Format, Zone: "zone-0", Stamps: []Stamp{{Hash: 1}}, Updates: []Update{{Member: member, Age: 5}}},
		Exchanged{Format: Format, Updates: []Update{{Member: member}}, Wanted: []uint64{1, 2}},
	} {
		content, err := msgpack.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		w := newWorld(1, 1, 3)
		var ping Ping
		var exchange Exchange
		var exchanged Exchanged
		if msgpack.Unmarshal(content, &ping) == nil {
			w.step(w.nodes[0], pingReceived{ping: ping})
		}
		if msgpack.Unmarshal(content, &exchange) == nil {
			w.step(w.nodes[0], exchangeReceived{exchange: exchange})
		}
		if msgpack.Unmarshal(content, &exchanged) == nil {
			w.step(w.nodes[0], exchangeAnswered{zone: "zone-0", address: "node-1", reply: exchanged})
		}
		if w.nodes[0].m.self.Health != HealthAlive {
			t.Fatal("own entry changed its health")
		}
	})
}
