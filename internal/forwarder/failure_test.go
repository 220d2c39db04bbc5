package forwarder

import (
	"bufio"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/deduplicator"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/isolator"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

func deduplicatorRecordOf(account string) deduplicator.Record {
	return deduplicator.Record{
		State: deduplicator.StateDone, Account: account, Status: 200, Answer: &deduplicator.Answer{Status: 200},
	}
}

// silence sends a request, lets all connections go silent while it runs, and returns its answer and the time it took.
func silence(
	t *testing.T, off bool, method, path string,
) (got *httptest.ResponseRecorder, took time.Duration, runs int) {
	t.Helper()
	inBubble(t, nil, noLink, []faker.UpstreamOptions{taking(300), taking(300)}, func(t *testing.T, m *mesh) {
		m.entry.watcher.off, m.entry.noResolve = off, off
		m.send(t.Context(), http.MethodGet, "/check", "") // leaves connections in the pool
		time.AfterFunc(100*time.Millisecond, func() {
			for _, link := range m.links {
				link.Silence()
			}
		})
		begun := time.Now()
		got = m.send(t.Context(), method, path, "")
		took = time.Since(begun)
		runs = m.runs(got.Header().Get(headerID))
	})
	return got, took, runs
}

// Guards against a call on a connection that went silent which ends late, without a typed outcome, or with an unknown
// one although the host node knows it.
func TestSilentConnections(t *testing.T) {
	const timeout = 2 * time.Second
	for method, path := range map[string]string{http.MethodGet: "/check", http.MethodPost: "/book"} {
		got, took, runs := silence(t, false, method, path)
		if outcomeOf(got) != classifier.OutcomeAnswered || took > timeout || method == http.MethodPost && runs != 1 {
			t.Errorf("%s: %s after %v with %d runs: %s", method, outcomeOf(got), took, runs, got.Body)
		}
		got, took, _ = silence(t, true, method, path)
		if outcomeOf(got) == classifier.OutcomeAnswered {
			t.Errorf("%s: without questions the call is answered too", method)
		}
		if outcomeOf(got) == "" || took > timeout {
			t.Errorf("%s: no typed outcome by the deadline: %v after %v", method, got.Header(), took)
		}
	}
}

// Guards against a request that a stalled connection delivers after its entry node gave it up and sent it elsewhere.
func TestStalledRequestDoesNotRunLater(t *testing.T) {
	fresh := func(o *Options) { o.Coordinator = nil } // ids made by the entry node run without a claim
	run := func(off bool) (runs int, outcome classifier.Outcome) {
		inBubble(t, fresh, noLink, []faker.UpstreamOptions{{}, {}}, func(t *testing.T, m *mesh) {
			var stalls sync.Map
			for _, host := range m.hosts {
				host.noFence = off
				inner := host.Gate
				host.Gate = stallingGate{inner, &stalls}
			}
			got := m.send(t.Context(), http.MethodPost, "/book", "")
			<-time.After(10 * time.Second)
			runs, outcome = m.runs(got.Header().Get(headerID)), outcomeOf(got)
		})
		return runs, outcome
	}
	if runs, outcome := run(false); runs != 1 || outcome != classifier.OutcomeAnswered {
		t.Errorf("%d runs, outcome %s", runs, outcome)
	}
	if runs, _ := run(true); runs < 2 {
		t.Errorf("without the fence there are %d runs too", runs)
	}
}

// stallingGate holds the first request back for a time, as a lossy connection does.
type stallingGate struct {
	Gate
	seen *sync.Map
}

func (s stallingGate) Begin() bool {
	if _, found := s.seen.LoadOrStore("first", true); !found {
		<-time.After(1800 * time.Millisecond)
	}
	return s.Gate.Begin()
}

// Guards against a request refused as not run that reached the upstream, under floods, short deadlines, cancellations,
// broken connections, shedding and a drain at once.
func TestNotRunNeverReachedTheUpstream(t *testing.T) {
	shedding := taking(40)
	shedding.Slots = 3
	both := []faker.UpstreamOptions{taking(40), shedding}
	counts := make(map[classifier.Outcome]int)
	inBubble(t, nil, faker.LinkOptions{Delay: 2, Jitter: 5}, both, func(t *testing.T, m *mesh) {
		time.AfterFunc(300*time.Millisecond, m.links[0].Cut)
		time.AfterFunc(600*time.Millisecond, func() { _ = m.gates[1].Drain(t.Context()) })
		var group sync.WaitGroup
		var mutex sync.Mutex
		for i := range 400 {
			group.Go(func() {
				<-time.After(time.Duration(i) * 2 * time.Millisecond)
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(20+i*7%400)*time.Millisecond)
				defer cancel()
				method, path := http.MethodPost, "/book"
				if i%3 == 0 {
					method, path = http.MethodGet, "/check"
				}
				got := m.send(ctx, method, path, "body", headerDeadline, "250")
				runs := m.runs(got.Header().Get(headerID))
				mutex.Lock()
				defer mutex.Unlock()
				counts[outcomeOf(got)]++
				if outcomeOf(got) == classifier.OutcomeNotRun && runs > 0 || method == http.MethodPost && runs > 1 {
					t.Errorf("%s: outcome %s with %d runs: %s", method, outcomeOf(got), runs, got.Body)
				}
			})
		}
		group.Wait()
	})
	if counts[classifier.OutcomeNotRun] < 20 || counts[classifier.OutcomeAnswered] < 20 || counts[""] > 0 {
		t.Errorf("outcomes %v", counts)
	}
}

// Guards against "not run" for a request whose first attempt may have run and whose last one was refused.
func TestRefusalAfterRunIsNotNotRun(t *testing.T) {
	for _, off := range []bool{false, true} {
		inBubble(t, nil, noLink, []faker.UpstreamOptions{{}, {}}, func(t *testing.T, m *mesh) {
			faulty(m, func(w http.ResponseWriter, r *http.Request) {
				r.Header.Set(headerID, "first")
				if m.runs("first") > 0 {
					writeFailure(w, classifier.Refuse(classifier.CodeDraining, "faulty", "the node is draining"), 0)
					return
				}
				m.upstreams[0].ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			})
			m.entry.noMemory = off
			m.entry.Picker.Started("b")
			_ = m.gates[1].Drain(t.Context())
			got := m.send(t.Context(), http.MethodGet, "/check", "")
			if wrong := m.runs("first") == 1 && outcomeOf(got) == classifier.OutcomeNotRun; wrong != off {
				t.Errorf("switch %v: %s", off, got.Body)
			}
		})
	}
}

// Guards against a buffer that is used for another request while net/http still sends it, and against records whose
// bytes get into the pool.
func TestBuffersHaveOneUse(t *testing.T) {
	b := &buffer{bytes: []byte("body")}
	body := newOnce(b)
	releaseBuffer(b)
	if len(b.bytes) != 4 {
		t.Fatal("released while it is read")
	}
	_ = body.Close()
	_ = body.Close()
	if n, _ := body.Read(make([]byte, 4)); n != 0 || len(b.bytes) != 0 {
		t.Fatal("read after its release")
	}
	if f := foreignBuffer([]byte("kept")); true {
		releaseBuffer(f)
		if string(f.bytes) != "kept" {
			t.Fatal("the bytes of a record were released")
		}
	}
}

// Guards against a drain that cuts off requests in flight or queued, or admits new ones after its first moment.
func TestDrain(t *testing.T) {
	inBubble(t, nil, noLink, []faker.UpstreamOptions{taking(100)}, func(t *testing.T, m *mesh) {
		var group sync.WaitGroup
		for range 10 {
			group.Go(func() {
				if got := m.send(t.Context(), http.MethodPost, "/book", ""); outcomeOf(got) != classifier.OutcomeAnswered {
					t.Errorf("in flight: %d %s", got.Code, got.Body)
				}
			})
		}
		synctest.Wait()
		ended := make(chan error)
		go func() { ended <- m.gates[0].Drain(t.Context()) }()
		synctest.Wait()
		got := m.send(t.Context(), http.MethodPost, "/book", "")
		if got.Header().Get(HeaderCode) != "222" || outcomeOf(got) != classifier.OutcomeNotRun {
			t.Errorf("while draining: %d %s", got.Code, got.Body)
		}
		if want := `"reason":"the node is draining"}`; !strings.HasSuffix(got.Body.String(), want) {
			t.Errorf("the reason of the host node is lost: %s", got.Body)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
		group.Wait()
		if runs, _, _ := m.upstreams[0].Totals(); runs != 10 {
			t.Errorf("%d runs", runs)
		}
	})
}

// deaths notes what the isolator is told.
type deaths struct {
	mutex sync.Mutex
	keys  []isolator.Key
	hosts []string
}

func (d *deaths) Check(isolator.Key) error { return nil }

func (d *deaths) RecordCrash(keys []isolator.Key, host string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.keys, d.hosts = append(d.keys, keys...), append(d.hosts, host)
}

// Guards against a crash that is not reported with all requests that ran then, is reported twice, or whose idempotent
// request is sent on to more than one other upstream.
func TestCrashIsReported(t *testing.T) {
	crashing := taking(100)
	crashing.Crash = func(r *http.Request) bool { return r.URL.RawQuery == "crash" }
	seen := &deaths{}
	adjust := func(o *Options) { o.Isolator = seen }
	inBubble(t, adjust, noLink, []faker.UpstreamOptions{crashing, crashing, crashing}, func(t *testing.T, m *mesh) {
		var group sync.WaitGroup
		for range 6 {
			group.Go(func() { m.send(t.Context(), http.MethodPost, "/book", "") })
		}
		synctest.Wait()
		got := m.send(t.Context(), http.MethodGet, "/check?crash", "")
		group.Wait()
		if runs := m.runs(got.Header().Get(headerID)); runs != 2 || outcomeOf(got) != classifier.OutcomeUnknown {
			t.Errorf("%d runs, outcome %s", runs, outcomeOf(got))
		}
		if len(seen.hosts) != 2 || len(seen.keys) < 4 {
			t.Errorf("deaths at %v of %d requests", seen.hosts, len(seen.keys))
		}
	})
}

// Guards against "not run" for an id from a caller that may have run before, when it is refused without a claim.
func TestRefusedIDMayHaveRunBefore(t *testing.T) {
	full := func(o *Options) {
		if o.Queue != nil {
			o.Queue = admitter.New(admitter.Options{Clock: o.Clock, Slots: 4})
			o.Queue.Drain()
			o.Coordinator = nil
		}
	}
	inBubble(t, full, noLink, plain, func(t *testing.T, m *mesh) {
		id := newID(m.entry.Clock.Now())
		got := m.send(t.Context(), http.MethodPost, "/book", "", headerID, id)
		if outcomeOf(got) != classifier.OutcomeUnknown {
			t.Errorf("an id from the caller: %s", outcomeOf(got))
		}
		if got := m.send(t.Context(), http.MethodPost, "/book", ""); outcomeOf(got) != classifier.OutcomeNotRun {
			t.Errorf("a fresh id: %s", outcomeOf(got))
		}
	})
}

// Guards against a restarted host node that certifies as not run what the process before it ran.
func TestRestartedHostNodeIsUncertain(t *testing.T) {
	fresh := func(o *Options) { o.Coordinator = nil }
	for _, off := range []bool{false, true} {
		inBubble(t, fresh, noLink, []faker.UpstreamOptions{taking(200), taking(200)}, func(t *testing.T, m *mesh) {
			time.AfterFunc(100*time.Millisecond, func() {
				for i, host := range m.hosts {
					options := host.Options
					options.Incarnation++
					restarted := NewHost(options)
					restarted.trustRestart = off
					m.processes[i].Store(restarted)
					m.links[i].Cut()
				}
			})
			got := m.send(t.Context(), http.MethodPost, "/book", "")
			runs := m.runs(got.Header().Get(headerID))
			if twice := runs > 1; twice != off {
				t.Errorf("switch %v: %d runs, outcome %s", off, runs, outcomeOf(got))
			}
			if !off && outcomeOf(got) != classifier.OutcomeUnknown {
				t.Errorf("outcome %s", outcomeOf(got))
			}
		})
	}
}

// Guards against a sender that stops in the middle of a body and holds the handler, and with it a drain, for good.
func TestStoppedSenderEndsByTheDeadline(t *testing.T) {
	inBubble(t, nil, noLink, plain, func(t *testing.T, m *mesh) {
		m.serve("entry:1", m.entry)
		for address, head := range map[string]string{
			"entry:1":  "POST /book HTTP/1.1\r\n",
			"host-a:1": "POST /forward HTTP/1.1\r\n" + forwardHeaders(),
		} {
			conn, err := m.network.Dial(t.Context(), "tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			begun := time.Now()
			_, _ = conn.Write([]byte(head + "Host: wick.example\r\nContent-Length: 100\r\n\r\npart"))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.Header.Get(HeaderCode) != "204" || time.Since(begun) > 2*time.Second {
				t.Fatalf("%s: %+v, error %v after %v", address, response, err, time.Since(begun))
			}
			_ = response.Body.Close()
			_ = conn.Close()
		}
	})
}

func forwardHeaders() string {
	now := timekeeper.System().Now()
	j := job{
		ID: newID(now), Attempt: 1, Remaining: 500, Expires: now + 500, Account: "wick", Call: "book", Service: service,
		Host:   "a",
		Method: http.MethodPost,
	}
	return headerForward + ": " + j.encode() + "\r\n" + headerTarget + ": /book\r\n"
}
