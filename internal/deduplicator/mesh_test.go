package deduplicator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// mesh carries messages between services in one process at once and without faults.
type mesh struct {
	clock   *timekeeper.ManualClock
	members []tracker.Member
	nodes   map[string]*Service
}

// newMesh returns count nodes in data centre "z" that all started long before now.
func newMesh(count int, options Options) *mesh {
	m := &mesh{clock: timekeeper.Manual(1_000_000_000), nodes: make(map[string]*Service)}
	for i := range count {
		name := fmt.Sprintf("n%02d", i)
		m.members = append(m.members, tracker.Member{Name: name, Zone: "z", Peer: name, Incarnation: 1})
	}
	for i := range m.members {
		m.start(m.members[i].Name, 1, 1, options)
	}
	return m
}

// start puts an empty process in place of a node.
func (m *mesh) start(name string, incarnation uint64, since timekeeper.Millis, options Options) {
	options.Name, options.Incarnation, options.Zone = name, incarnation, "z"
	options.Clock, options.Caller, options.Directory = m.clock.Clock(), m, m
	options.Since = func() timekeeper.Millis { return since }
	options.Placement = &Observed{
		Directory: m, Clock: options.Clock, Lead: 1000, Window: defaultWindow,
		View:  func(string, string) []string { return []string{"z"} },
		Lists: func() [][]string { return [][]string{{"z"}} },
	}
	m.nodes[name] = New(options)
}

func (m *mesh) Zone(string) []tracker.Member { return m.members }

func (m *mesh) Find(name string) (tracker.Member, bool) {
	for _, member := range m.members {
		if member.Name == name {
			return member, true
		}
	}
	return tracker.Member{}, false
}

func (m *mesh) Call(ctx context.Context, peer, _ string, arguments, reply any, _ timekeeper.Millis) error {
	if m.nodes[peer] == nil {
		return classifier.New(classifier.CodePeerClosed, peer, "down")
	}
	return m.nodes[peer].call(ctx, peer, "", arguments, reply)
}

// callerID returns an id that a caller created.
func callerID(born timekeeper.Millis, random *rand.Rand) ID {
	d := Mint(born, random, "", nil)
	d[15] ^= 0xff
	return d
}

// claim presents an id at a host. It needs a synctest bubble.
func (m *mesh) claim(t testing.TB, host, id string) Decision {
	t.Helper()
	r := Request{ID: id, Attempt: 1, Host: host, Incarnation: m.nodes[host].options.Incarnation, Account: "a", Call: "c"}
	decision, err := m.nodes[host].Claim(t.Context(), r)
	if err != nil {
		t.Fatalf("claim: %v", err)
	}
	synctest.Wait() // the rest of the messages arrives
	return decision
}

// Guards against a repeat at another host that runs again or loses the first answer.
func TestRepeatGetsFirstAnswer(t *testing.T) { synctest.Test(t, repeatGetsFirstAnswer) }

func repeatGetsFirstAnswer(t *testing.T) {
	m := newMesh(5, Options{})
	id := callerID(m.clock.Clock().Now(), rand.New(rand.NewPCG(1, 1))).String()
	proceed, ok := m.claim(t, "n00", id).(Proceed)
	if !ok {
		t.Fatal("the first attempt may not run")
	}
	if _, ok := m.claim(t, "n01", id).(Wait); !ok {
		t.Fatal("a second attempt does not wait for the first")
	}
	r := Request{ID: id, Attempt: 1, Host: "n00", Account: "a", Call: "c", Sequence: proceed.Sequence}
	if err := m.nodes["n00"].Complete(t.Context(), r, Answer{Status: 200, Body: []byte("first")}); err != nil {
		t.Fatal(err)
	}
	replay, ok := m.claim(t, "n01", id).(Replay)
	if !ok || string(replay.Answer.Body) != "first" {
		t.Fatalf("a repeat gets %v", replay)
	}
	if record, err := m.nodes["n02"].Lookup(t.Context(), id); err != nil || record.State != StateDone {
		t.Fatalf("lookup gets %v, %v", record, err)
	}
}
