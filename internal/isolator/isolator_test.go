package isolator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// fleet is 3 data centres with 6 nodes each.
type fleet struct {
	mutex  sync.Mutex
	random *rand.Rand
	lossy  int // percentage of messages lost
	nodes  map[string]*Isolator
}

func newFleet(t *testing.T, seed uint64, lossy int, off rules) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1)), lossy: lossy, nodes: make(map[string]*Isolator)}
	for _, zone := range []string{"a", "b", "c"} {
		for at := range 6 {
			name := fmt.Sprint(zone, at)
			f.nodes[name] = New(Options{
				Name: name, Zone: zone, Incarnation: 1, Directory: f, Caller: f,
				Clock: timekeeper.System(),
				Zones: func() []string { return []string{"a", "b", "c"} },
			})
			f.nodes[name].table.rules = off
		}
	}
	var group sync.WaitGroup
	for _, node := range f.nodes {
		group.Go(func() { node.Run(t.Context()) })
	}
	t.Cleanup(group.Wait)
	return f
}

func (f *fleet) Zone(name string) []tracker.Member {
	members := make([]tracker.Member, 0, 6)
	for at := range 6 {
		members = append(members, tracker.Member{Name: fmt.Sprint(name, at), Zone: name, Peer: fmt.Sprint(name, at)})
	}
	return members
}

func (f *fleet) Call(_ context.Context, peer, _ string, arguments, reply any, _ timekeeper.Millis) error {
	f.mutex.Lock()
	lost := f.random.IntN(100) < f.lossy
	f.mutex.Unlock()
	a, known := arguments.(*MarkArguments)
	r, fits := reply.(*MarkReply)
	if lost || !known || !fits {
		return errors.New("lost")
	}
	<-time.After(5 * time.Millisecond)
	return (&Receiver{isolator: f.nodes[peer]}).Mark(a, r)
}

// refusing counts the nodes that refuse a request.
func (f *fleet) refusing(key Key) int {
	count := 0
	for _, node := range f.nodes {
		if err := node.Check(key); classifier.CodeOf(err) == classifier.CodeIsolated {
			count++
		}
	}
	return count
}

// crash sends a request to one node of each data centre in turn, every 2 s, as long as the node lets it run, and
// returns the deaths. Lookups of the same account run on each upstream that dies.
func (f *fleet) crash(keys func(int) Key) int {
	deaths := 0
	for try := range 12 {
		name := fmt.Sprint(string(rune('a'+try%3)), try/3)
		key := keys(try)
		if f.nodes[name].Check(key) == nil {
			deaths++
			bystander := Key{ID: fmt.Sprint("lookup", try), Account: "ochre", Call: "look", Fingerprint: uint64(100 + try)}
			suspects := []Key{key, bystander}
			if try == 0 {
				suspects = suspects[:1]
			}
			f.nodes[name].RecordCrash(suspects, name)
		}
		<-time.After(2 * time.Second)
	}
	return deaths
}

// Guards against a request that goes on crashing upstreams after the stated deaths, against refusing other kinds of
// call of the account, and against marks that do not reach all nodes.
func TestCrashingRequestsAreRefused(t *testing.T) {
	same := Key{ID: "p", Account: "ochre", Call: "weigh", Fingerprint: 1}
	for name, c := range map[string]struct {
		keys func(int) Key
		want int
	}{
		"same id": {func(int) Key { return same }, idDeaths},
		"new ids": {func(try int) Key { k := same; k.ID = fmt.Sprint(try); return k }, fingerprintDeaths},
		"new requests": {func(try int) Key {
			return Key{ID: fmt.Sprint(try), Account: "ochre", Call: "weigh", Fingerprint: uint64(try)}
		}, callDeaths},
	} {
		for _, off := range []rules{{}, {silent: true}} {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 0, off)
				deaths := f.crash(c.keys)
				if stopped := deaths == c.want; stopped == off.silent {
					t.Errorf("%s, %+v: %d deaths", name, off, deaths)
				}
				if count := f.refusing(c.keys(11)); (count == len(f.nodes)) == off.silent {
					t.Errorf("%s, %+v: %d nodes refuse the request", name, off, count)
				}
				look := Key{ID: "x", Account: "ochre", Call: "look", Fingerprint: 99}
				if count := f.refusing(look); count != 0 {
					t.Errorf("%s, %+v: %d nodes refuse another kind of call", name, off, count)
				}
			})
		}
	}
}

// Guards against refusing a popular kind of call that was only present while another one crashed upstreams.
func TestBystandersAreSpared(t *testing.T) {
	for _, off := range []rules{{}, {crude: true}} {
		table := newTable()
		table.rules = off
		for n := range uint64(7) {
			d := Crash{Key: Key{Account: "a", Call: "poison", Fingerprint: n}, Host: fmt.Sprint(n % 3), Number: n}
			table.add(1000, d)
			if d.Key = (Key{Account: "a", Call: "popular", Fingerprint: 50 + n}); n > 0 {
				table.add(1000, d)
			}
		}
		refused := false
		for _, m := range table.list(1000) {
			refused = refused || m.Key.Call == "popular"
		}
		if refused != off.crude {
			t.Errorf("%+v: the bystander is refused: %v", off, refused)
		}
	}
}

// Guards against nodes that never learn of a crashing request because the messages to them were lost.
func TestLostMarksAreRepaired(t *testing.T) {
	for _, off := range []rules{{}, {once: true}} {
		synctest.Test(t, func(t *testing.T) {
			f, key := newFleet(t, 2, 50, off), Key{ID: "p", Account: "a", Call: "c", Fingerprint: 1}
			f.nodes["a0"].RecordCrash([]Key{key}, "a0")
			f.nodes["b0"].RecordCrash([]Key{key}, "b0")
			<-time.After(15 * time.Second)
			if count := f.refusing(key); (count == len(f.nodes)) == off.once {
				t.Errorf("%+v: %d of %d nodes refuse the request", off, count, len(f.nodes))
			}
		})
	}
}

// Guards against a table that grows without bound, marks that stay after their time, and deaths counted twice.
func TestTableIsBounded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table, now := newTable(), timekeeper.Millis(1_000_000)
		for range rapid.IntRange(1, 1500).Draw(rt, "deaths") {
			number := rapid.Uint64Range(0, 3000).Draw(rt, "number")
			d := Crash{Key: Key{ID: fmt.Sprint(number / 2), Fingerprint: number}, Host: "h", Number: number}
			table.add(now, d)
			if table.add(now, d) {
				rt.Fatal("a death is counted twice")
			}
			now += timekeeper.Millis(rapid.IntRange(0, 900).Draw(rt, "pass"))
		}
		if len(table.order) > tableLimit || len(table.marks) > tableLimit || len(table.known) != len(table.order) {
			rt.Fatalf("%d deaths in the table", len(table.order))
		}
		if marks := table.list(now + requestSpan); len(marks) != 0 {
			rt.Fatalf("%d marks stay", len(marks))
		}
	})
	table := newTable()
	table.rules.unbounded = true
	for n := range uint64(2 * tableLimit) {
		for number := range uint64(2) {
			table.add(0, Crash{Key: Key{ID: fmt.Sprint(n), Fingerprint: n}, Number: 2*n + number})
		}
	}
	if len(table.order) <= tableLimit || len(table.marks) <= tableLimit {
		t.Error("the table is bounded without its rule")
	}
}

// Guards against messages that crash a node or take memory beyond their size.
func FuzzMark(f *testing.F) {
	seed, _ := msgpack.Marshal(&MarkArguments{Format: Format, Crashes: Crashes{{Key: Key{ID: "i"}, Host: "h", Age: 5}}})
	f.Add(seed)
	f.Add([]byte("\x82\xa1f\x01\xa1d\xdd\x3b\x9a\xca\x00"))
	f.Fuzz(func(t *testing.T, data []byte) {
		i := New(Options{Clock: timekeeper.Manual(1 << 40).Clock()})
		var arguments MarkArguments
		if msgpack.NewDecoder(bytes.NewReader(data)).Decode(&arguments) == nil {
			_ = (&Receiver{isolator: i}).Mark(&arguments, &MarkReply{})
		}
		if len(i.table.order) > batchLimit {
			t.Fatal("a message adds more than a batch")
		}
	})
}

// BenchmarkCheck measures the check of a request while 1,000 marks are in force.
func BenchmarkCheck(b *testing.B) {
	i := New(Options{Clock: timekeeper.Manual(0).Clock()})
	for n := range uint64(tableLimit / 2) {
		key := Key{ID: fmt.Sprint(n), Fingerprint: n}
		i.RecordCrash([]Key{key}, "h")
		i.RecordCrash([]Key{key}, "h")
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = i.Check(Key{ID: "other", Account: "a", Call: "c", Fingerprint: 1 << 40})
	}
}

// Guards against common requests that are refused everywhere because many upstreams ended at once while they ran, as
// in a rack failure, and against a crashing request that is spared because bystanders ran beside it.
func TestAnsweredRequestsAreNotSuspected(t *testing.T) {
	common := Key{ID: "1", Account: "a", Call: "look-up", Fingerprint: 7}
	crashing := Key{ID: "2", Account: "a", Call: "settle", Fingerprint: 9}
	for _, answered := range []bool{true, false} {
		clock := timekeeper.Manual(1_000_000)
		i := New(Options{Name: "n", Clock: clock.Clock()})
		for _, host := range []string{"h1", "h2", "h3"} {
			survivors := &AnsweredRequests{}
			if answered {
				survivors.Add(common.Fingerprint)
			}
			i.RecordCrash(survivors.Suspects([]Key{common, crashing}), host)
		}
		refused := map[string]bool{}
		for _, key := range []Key{common, crashing} {
			key.ID = "later"
			refused[key.Call] = i.Check(key) != nil
		}
		want := map[string]bool{"look-up": !answered, "settle": true}
		if diff := cmp.Diff(want, refused); diff != "" {
			t.Errorf("answered before: %v (-want +got):\n%s", answered, diff)
		}
	}
}

// Guards against a service that is refused as a whole after many of its upstreams ended at once, as with a rack: the
// kinds of calls that ran there are those of all traffic. With kinds of calls refused, the call is lost for 30 s.
func TestUpstreamsThatEndTogether(t *testing.T) {
	for _, requests := range []bool{true, false} {
		i := New(Options{Name: "n", Clock: timekeeper.Manual(1 << 40).Clock(), SingleRequestsOnly: requests})
		for n := range uint64(12) {
			i.RecordCrash([]Key{
				{ID: fmt.Sprint("a", n), Account: "ochre", Call: "standing", Fingerprint: 2 * n},
				{ID: fmt.Sprint("b", n), Account: "ochre", Call: "weigh", Fingerprint: 2*n + 1},
			}, fmt.Sprint("host", n))
		}
		err := i.Check(Key{ID: "new", Account: "ochre", Call: "weigh", Fingerprint: 99})
		if (err == nil) != requests {
			t.Errorf("requests only %v: %v", requests, err)
		}
	}
}
