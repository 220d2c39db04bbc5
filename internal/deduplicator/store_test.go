package deduplicator

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against a store that loses, duplicates or mixes up records while entries are added, expire and are evicted.
func TestStoreMatchesModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := shardCount * (rapid.IntRange(4, 40).Draw(rt, "entries")*entryBytes + 300)
		store, model := NewStore(limit, defaultWindow), make(map[ID]Record)
		now, last := testNow, testNow
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now += timekeeper.Millis(rapid.IntRange(0, 20000).Draw(rt, "elapsed"))
			var d ID
			age := timekeeper.Millis(rapid.IntRange(0, 660_000).Draw(rt, "age"))
			binary.BigEndian.PutUint64(d[:8], uint64(now-age)<<16|0x7000)
			d[8], d[15] = 0x80, byte(rapid.IntRange(0, 3).Draw(rt, "tail"))
			if rapid.Bool().Draw(rt, "again") {
				for known := range model {
					d = known
					break
				}
			}
			r := Record{ID: d, Host: fmt.Sprint("h", rapid.IntRange(0, 2).Draw(rt, "host")), Sequence: 1}
			known, found := model[d]
			if now-d.Created() > defaultWindow {
				delete(model, d)
			}
			switch rapid.IntRange(0, 2).Draw(rt, "operation") {
			case 0:
				verdict := store.Claim(now, 1, true, &r).Verdict
				switch {
				case now-d.Created() > defaultWindow && verdict != VerdictExpired,
					found && known.Host != r.Host && verdict == VerdictGranted,
					found && known.Host == r.Host && now-d.Created() <= defaultWindow && known.State == StateClaimed &&
						verdict != VerdictGranted:
					rt.Fatalf("claim by %s of %+v: verdict %d", r.Host, known, verdict)
				}
				if verdict == VerdictGranted {
					r.State = StateClaimed
					model[d] = r
				}
			case 1:
				if found && known.State == StateClaimed {
					r.Host, r.State, r.Status = known.Host, StateDone, 200
					r.Answer = &Answer{Status: 200, Body: make([]byte, rapid.IntRange(0, 400).Draw(rt, "size"))}
					store.Complete(now, []Record{r})
					if now-d.Created() <= defaultWindow {
						model[d] = r
					}
				}
			case 2:
				if got := store.Lookup(now, d); got.State != model[d].State || got.Host != model[d].Host {
					if now-d.Created() <= defaultWindow {
						rt.Fatalf("%+v is stored as %+v", known, got)
					}
				}
			}
			if store.Bytes() > limit {
				rt.Fatalf("%d bytes over the bound of %d", store.Bytes(), limit)
			}
			last = now
		}
		store.table.each(last+2*defaultWindow, func([]Record) {})
		if store.Count() != 0 {
			rt.Fatalf("%d records stay after the window", store.Count())
		}
	})
}

// Guards against ids that change when they are formatted and parsed, and against panics on malformed text.
func FuzzParseID(f *testing.F) {
	for _, seed := range []string{
		"", "{}", "01939d2a-8a4b-7c3d-9e5f-0123456789ab", "01939d2a-8a4b-4c3d-9e5f-0123456789ab",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		d, err := ParseID(text)
		if again, failure := ParseID(d.String()); err == nil && (failure != nil || again != d || d.Created() < 0) {
			t.Fatalf("%q is read as %v, then as %v", text, d, again)
		}
	})
}

// decodeAndHandle decodes a message with its own decoder, as a connection does, and passes it to a method. The shared
// decoders of msgpack.Unmarshal would keep growing buffers after truncated messages.
func decodeAndHandle[A, R any](data []byte, method func(*A, *R) error) {
	var arguments A
	if msgpack.NewDecoder(bytes.NewReader(data)).Decode(&arguments) == nil {
		_ = method(&arguments, new(R))
	}
}

// Guards against messages that crash an owner or exceed its memory limit.
func FuzzMessages(f *testing.F) {
	r := Record{ID: callerID(testNow, rand.New(rand.NewPCG(1, 1))), State: StateClaimed, Host: "h", Sequence: 1}
	for _, message := range []any{
		ClaimArguments{Format: Format, Owner: "n00", Record: r},
		ReleaseArguments{Format: Format, Record: r},
		CompleteArguments{Format: Format, Records: Records{r}},
		LookupArguments{Format: Format, ID: r.ID},
	} {
		data, err := msgpack.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		m := newMesh(1, Options{Bytes: 1 << 16})
		receiver := &Receiver{service: m.nodes["n00"]}
		decodeAndHandle(data, receiver.Claim)
		decodeAndHandle(data, receiver.Release)
		decodeAndHandle(data, receiver.Complete)
		decodeAndHandle(data, receiver.Lookup)
		if m.nodes["n00"].Bytes() > 1<<16 {
			t.Fatal("memory is over its bound")
		}
	})
}

// BenchmarkStoreClaim measures a granted claim at an owner with 300,000 records.
func BenchmarkStoreClaim(b *testing.B) {
	store, random := NewStore(1<<30, defaultWindow), rand.New(rand.NewPCG(1, 1))
	now, claim := testNow, Record{Host: "h", Sequence: 1, Account: "a", Call: "c"}
	step := func() {
		now++
		claim.ID = callerID(now, random)
		store.Claim(now, 1, true, &claim)
	}
	for range 300_000 {
		step()
	}
	b.ReportAllocs()
	for b.Loop() {
		step()
	}
}

// BenchmarkMemory measures the heap bytes of a claimed record and of a finished record with an answer of 100 bytes, and
// the bytes that the store counts for each.
func BenchmarkMemory(b *testing.B) {
	for _, size := range []int{-1, 100} {
		b.Run(fmt.Sprint("answer=", size), func(b *testing.B) {
			random, count := rand.New(rand.NewPCG(1, 1)), 500_000
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				store := NewStore(1<<30, defaultWindow)
				answer := &Answer{Status: 200, Body: bytes.Repeat([]byte("x"), max(size, 0))}
				for i := range count {
					r := Record{
						ID: callerID(testNow, random), Host: fmt.Sprint("h", i%139), Sequence: 1, Account: "a", Call: "c",
					}
					store.Claim(testNow, 1, true, &r)
					if size >= 0 {
						r.State, r.Status, r.Answer = StateDone, 200, answer
						store.Complete(testNow, []Record{r})
					}
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(count), "heap-B/id")
				b.ReportMetric(float64(store.Bytes())/float64(count), "counted-B/id")
				runtime.KeepAlive(store)
			}
		})
	}
}

// BenchmarkCoordinatorClaim measures a claim by a host at three owners out of 139 members, without a network.
func BenchmarkCoordinatorClaim(b *testing.B) {
	m, random := newMesh(139, Options{Bytes: 1 << 28}), rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		r := m.request("n00", callerID(m.clock.Clock().Now(), random).String())
		if d, _ := m.nodes["n00"].Claim(b.Context(), r); countRuns(d) != 1 {
			b.Fatalf("refused: %+v", d)
		}
	}
}
