package tracker

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// newConvergedSimulation returns a simulation in which all nodes agree, with the given mechanisms disabled.
func newConvergedSimulation(t *testing.T, zones, perZone int, disabled mechanisms) *simulation {
	t.Helper()
	s := newSimulation(7, zones, perZone)
	if !s.converge(20 * timekeeper.Second) {
		t.Fatal(s.disagreement())
	}
	for _, n := range s.nodes {
		n.m.disabled = disabled
	}
	return s
}

// Guards against a member that stays failed after its process was paused, as happens without refutation.
func TestPausedMemberRefutes(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		s := newConvergedSimulation(t, 1, 6, mechanisms{refutation: disabled})
		paused := s.nodes[3]
		paused.pausedUntil = s.now + 11*timekeeper.Second
		s.advance(10 * timekeeper.Second)
		if h := s.nodes[0].m.table.find(paused.name).member.Health; h != HealthFailed {
			t.Fatalf("paused member has health %d, not failed", h)
		}
		s.advance(10 * timekeeper.Second)
		alive := true
		for _, n := range s.nodes {
			alive = alive && n.m.table.find(paused.name).member.Health == HealthAlive
		}
		if alive == disabled {
			t.Errorf("refutation disabled %v: alive again on all nodes is %v", disabled, alive)
		}
	}
}

// Guards against an older entry that replaces a newer one, as happens without the ordering of entries.
func TestOlderEntryIsIgnored(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		s := newConvergedSimulation(t, 1, 3, mechanisms{order: disabled})
		n := s.nodes[0]
		newer := n.m.table.find("node-1").member
		older := newer
		older.Sequence--
		older.Slots = 99
		s.step(n, exchangeReceived{exchange: Exchange{Format: Format, Updates: []Update{{Member: older}}}})
		if kept := n.m.table.find("node-1").member == newer; kept == disabled {
			t.Errorf("order disabled %v: newer entry kept %v", disabled, kept)
		}
	}
}

// Guards against data centres whose tables stay different after a network partition, as happens without exchanges.
func TestDataCentresAgreeAfterCut(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		s := newConvergedSimulation(t, 3, 3, mechanisms{exchange: disabled})
		s.partitioned = func(a, b *node) bool { return a.zone != b.zone }
		s.step(s.nodes[0], selfChanged{change: func(m *Member) { m.State = StateDraining }})
		s.advance(2 * timekeeper.Second)
		s.partitioned = nil
		if agreed := s.converge(15 * timekeeper.Second); agreed == disabled {
			t.Errorf("exchange disabled %v: agreed %v", disabled, agreed)
		}
	}
}

// Guards against the members of a data centre that fails as a whole staying alive on all other nodes, as happens when
// only its own members ping each other.
func TestMembersOfFailedDataCentreFail(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		s := newConvergedSimulation(t, 3, 4, mechanisms{zones: disabled})
		for _, n := range s.nodes {
			n.killed = n.zone == "zone-0"
		}
		if agreed := s.converge(2 * timekeeper.Minute); agreed == disabled {
			t.Errorf("suspicion of other data centres disabled %v: agreed %v: %s", disabled, agreed, s.disagreement())
		}
		for _, n := range s.nodes[:1] { // zone-0 returns with one node
			s.startProcess(n)
		}
		if !s.converge(2*timekeeper.Minute) && !disabled {
			t.Errorf("after the return: %s", s.disagreement())
		}
	}
}

// Guards against two data centres without a link between them that declare each other failed for good, although both
// have a link to a third one.
func TestMissingLinkBetweenDataCentres(t *testing.T) {
	s := newConvergedSimulation(t, 3, 4, mechanisms{})
	s.partitioned = func(a, b *node) bool { return a.zone != b.zone && a.zone != "zone-2" && b.zone != "zone-2" }
	failures := 0
	for range 300 {
		s.advance(timekeeper.Second)
		for _, n := range s.nodes {
			for _, other := range s.nodes {
				if n.m.table.find(other.name).member.Health >= HealthFailed {
					failures++
				}
			}
		}
	}
	if failures > 0 {
		t.Errorf("%d entries of live members were failed, summed over 300 checks", failures)
	}
	s.partitioned = nil
	if !s.converge(timekeeper.Minute) {
		t.Error(s.disagreement())
	}
}

// Guards against two halves of a data centre that never reconnect after a network partition in which each marked the
// other as failed, as happens without the retry of failed addresses.
func TestPartitionedHalvesReconnect(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		s := newConvergedSimulation(t, 1, 8, mechanisms{retry: disabled})
		half := map[*node]bool{s.nodes[0]: true, s.nodes[1]: true, s.nodes[2]: true, s.nodes[3]: true}
		s.partitioned = func(a, b *node) bool { return half[a] != half[b] }
		s.advance(30 * timekeeper.Second)
		s.partitioned = nil
		if agreed := s.converge(30 * timekeeper.Second); agreed == disabled {
			t.Errorf("retry disabled %v: agreed %v", disabled, agreed)
		}
	}
}

// Guards against a node that, after its own process was paused, marks members as failed whose suspicion timeout expired
// during the pause, as happens without pause detection.
func TestOwnPauseFailsNoMember(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		s := newConvergedSimulation(t, 1, 3, mechanisms{pause: disabled})
		n := s.nodes[0]
		suspect := n.m.table.find("node-1").member
		suspect.Health = HealthSuspect
		n.m.Step(s.now, exchangeReceived{exchange: Exchange{Format: Format, Updates: []Update{{Member: suspect}}}})
		n.m.Step(s.now+10*timekeeper.Second, tick{})
		if failed := n.m.table.find("node-1").member.Health == HealthFailed; failed != disabled {
			t.Errorf("pause detection disabled %v: failed %v", disabled, failed)
		}
	}
}

// Guards against a leaving member that the others have to detect as failed, and against calls sent to it meanwhile.
func TestLeavePropagatesAtOnce(t *testing.T) {
	s := newConvergedSimulation(t, 3, 4, mechanisms{})
	left := s.nodes[5]
	s.step(left, leaveRequested{})
	s.advance(50)
	left.killed = true
	s.advance(2 * timekeeper.Second)
	for _, n := range s.nodes {
		if m := n.m.table.find(left.name).member; !n.killed && m.Health != HealthLeft {
			t.Errorf("%s has the member that left with health %d", n.name, m.Health)
		}
	}
}

// Guards against a relay election that differs between nodes, keeps a suspect relay, or changes without a cause.
func TestRelaysFollowMembership(t *testing.T) {
	s := newConvergedSimulation(t, 2, 6, mechanisms{})
	first := s.nodes[0].m.table.snapshot.Load().zones["zone-0"].relays
	for _, n := range s.nodes {
		if diff := cmp.Diff(first, n.m.table.snapshot.Load().zones["zone-0"].relays); diff != "" {
			t.Fatalf("%s elects differently:\n%s", n.name, diff)
		}
	}
	s.byAddress[first[0].Name].killed = true
	s.advance(4 * timekeeper.Second)
	for _, n := range s.nodes {
		relays := n.m.table.snapshot.Load().zones["zone-0"].relays
		if !n.killed && (relays[0].Name != first[1].Name || relays[1].Name == first[0].Name) {
			t.Errorf("%s: relays are %s and %s after %s was killed", n.name, relays[0].Name, relays[1].Name, first[0].Name)
		}
	}
}

// Guards against a restart with a clock behind that of the previous process of the same name: the entry of the new
// process would not replace the older one.
func TestIncarnationRisesAboveOlderRecord(t *testing.T) {
	s := newConvergedSimulation(t, 1, 4, mechanisms{})
	n := s.nodes[3]
	old := n.m.self.Incarnation
	s.now -= 100_000
	n.killed = true
	s.startProcess(n)
	s.now += 100_000
	if !s.converge(20*timekeeper.Second) || n.m.self.Incarnation <= old {
		t.Errorf("incarnation is %d after %d: %s", n.m.self.Incarnation, old, s.disagreement())
	}
}

// Guards against dead entries that are never dropped because nodes that still have them send them to those that do not.
func TestDeadEntriesAreDropped(t *testing.T) {
	s := newConvergedSimulation(t, 2, 4, mechanisms{})
	s.nodes[7].killed = true
	s.advance(9 * timekeeper.Minute)
	if s.nodes[0].m.table.find("node-7") == nil {
		t.Error("failed member was dropped before its time")
	}
	s.advance(90 * timekeeper.Second)
	for _, n := range s.nodes[:7] {
		if n.m.table.find("node-7") != nil {
			t.Errorf("%s still has the failed member", n.name)
		}
	}
}

// Guards against invalid messages that change the table or crash the process instead of being rejected with a 3xx code.
func TestInvalidMessagesLeaveTableUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(1, 1, 2)
		m := s.nodes[0].m
		before := m.table.shards["zone-0"].digest
		good := Member{Name: "x", Zone: "zone-0", Incarnation: 1}
		bad := good
		switch rapid.IntRange(0, 6).Draw(t, "field") {
		case 0:
			bad.Name = ""
		case 1:
			bad.Zone = string(make([]byte, maxName+1))
		case 2:
			bad.Incarnation = uint64(s.now+maxAhead) + rapid.Uint64Range(1, 1<<62).Draw(t, "incarnation")
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
			indirectPingReceived{request: IndirectPing{Format: Format, Target: "127.0.0.1:1"}},
		} {
			if code := classifier.CodeOf(s.step(s.nodes[0], e).failure); code/100 != 3 {
				t.Fatalf("%T got code %d", e, code)
			}
		}
		if m.table.shards["zone-0"].digest != before {
			t.Fatal("table changed")
		}
	})
}

// Guards against a message that the decoder accepts and that crashes the state machine or changes the node's health.
func FuzzMessages(f *testing.F) {
	member := Member{Name: "node-1", Zone: "zone-0", Peer: "node-1", Incarnation: 2, Sequence: 9, Health: HealthFailed}
	for _, message := range []any{
		Ping{Format: Format, From: member, About: stampOf(&member), Digests: []Digest{{Zone: "z", Hash: 1}}},
		Exchange{Format: Format, Zone: "zone-0", Stamps: []Stamp{{Hash: 1}}, Updates: []Update{{Member: member, Age: 5}}},
		ExchangeReply{Format: Format, Updates: []Update{{Member: member}}, Wanted: []uint64{1, 2}},
	} {
		content, err := msgpack.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(content)
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		s := newSimulation(1, 1, 3)
		var ping Ping
		var exchange Exchange
		var exchanged ExchangeReply
		if msgpack.Unmarshal(content, &ping) == nil {
			s.step(s.nodes[0], pingReceived{ping: ping})
		}
		if msgpack.Unmarshal(content, &exchange) == nil {
			s.step(s.nodes[0], exchangeReceived{exchange: exchange})
		}
		if msgpack.Unmarshal(content, &exchanged) == nil {
			s.step(s.nodes[0], exchangeCompleted{zone: "zone-0", address: "node-1", reply: exchanged})
		}
		if s.nodes[0].m.self.Health != HealthAlive {
			t.Fatal("own entry changed its health")
		}
	})
}
