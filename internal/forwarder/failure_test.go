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

func doneRecord(account string) deduplicator.Record {
	return deduplicator.Record{
		State: deduplicator.StateDone, Account: account, Status: 200, Answer: &deduplicator.Answer{Status: 200},
	}
}

// sendOnSilentLinks sends a request, silences all links while it runs, and returns the response, its duration and the
// number of runs.
func sendOnSilentLinks(
	t *testing.T, disabled bool, method, path string,
) (got *httptest.ResponseRecorder, took time.Duration, runs int) {
	t.Helper()
	inBubble(t, nil, plainLink, []faker.UpstreamOptions{
		withServiceTime(300), withServiceTime(300),
	}, func(t *testing.T, m *mesh) {
		m.entry.watcher.disabled, m.entry.noResolve = disabled, disabled
		m.send(t.Context(), http.MethodGet, "/check", "") // leaves connections in the pool
		time.AfterFunc(100*time.Millisecond, func() {
			for _, link := range m.links {
				link.Silence()
			}
		})
		started := time.Now()
		got = m.send(t.Context(), method, path, "")
		took = time.Since(started)
		runs = m.runs(got.Header().Get(headerID))
	})
	return got, took, runs
}

// Guards against a call on a silent connection that ends late, without a typed outcome, or with an unknown outcome that
// the host node knows.
func TestSilentConnections(t *testing.T) {
	const timeout = 2 * time.Second
	for method, path := range map[string]string{http.MethodGet: "/check", http.MethodPost: "/book"} {
		got, took, runs := sendOnSilentLinks(t, false, method, path)
		if outcomeOf(got) != classifier.OutcomeAnswered || took > timeout || method == http.MethodPost && runs != 1 {
			t.Errorf("%s: %s after %v with %d runs: %s", method, outcomeOf(got), took, runs, got.Body)
		}
		got, took, _ = sendOnSilentLinks(t, true, method, path)
		if outcomeOf(got) == classifier.OutcomeAnswered {
			t.Errorf("%s: without polls the call is answered too", method)
		}
		if outcomeOf(got) == "" || took > timeout {
			t.Errorf("%s: no typed outcome by the deadline: %v after %v", method, got.Header(), took)
		}
	}
}

// Guards against a second run of a request that a stalled connection delivers after its entry node abandoned the
// attempt and retried elsewhere.
func TestStalledRequestDoesNotRunLater(t *testing.T) {
	noRecords := func(o *Options) { o.Coordinator = nil } // ids made by the entry node run without a claim
	run := func(disabled bool) (runs int, outcome classifier.Outcome) {
		inBubble(t, noRecords, plainLink, []faker.UpstreamOptions{{}, {}}, func(t *testing.T, m *mesh) {
			var stalls sync.Map
			for _, host := range m.hosts {
				host.noFence = disabled
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

// stallingGate delays the first request, as a lossy connection does.
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

// Guards against a request that is reported as not run but reached the upstream, under overload, short deadlines,
// cancellations, broken connections, load shedding and a drain at once.
func TestNotRunNeverReachedTheUpstream(t *testing.T) {
	shedding := withServiceTime(40)
	shedding.Slots = 3
	upstreams := []faker.UpstreamOptions{withServiceTime(40), shedding}
	counts := make(map[classifier.Outcome]int)
	inBubble(t, nil, faker.LinkOptions{Delay: 2, Jitter: 5}, upstreams, func(t *testing.T, m *mesh) {
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

// Guards against "not run" for a request whose first attempt may have run and whose last attempt was refused.
func TestRefusalAfterRunIsUnknown(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		inBubble(t, nil, plainLink, []faker.UpstreamOptions{{}, {}}, func(t *testing.T, m *mesh) {
			replaceHost(m, func(w http.ResponseWriter, r *http.Request) {
				r.Header.Set(headerID, "first")
				if m.runs("first") > 0 {
					writeFailure(w, classifier.Refuse(classifier.CodeDraining, "faulty", "the node is draining"), 0)
					return
				}
				m.upstreams[0].ServeHTTP(httptest.NewRecorder(), r)
				panic(http.ErrAbortHandler)
			})
			m.entry.keepNotRun = disabled
			m.entry.Picker.RecordStart("b")
			_ = m.gates[1].Drain(t.Context())
			got := m.send(t.Context(), http.MethodGet, "/check", "")
			if wrong := m.runs("first") == 1 && outcomeOf(got) == classifier.OutcomeNotRun; wrong != disabled {
				t.Errorf("switch %v: %s", disabled, got.Body)
			}
		})
	}
}

// Guards against a buffer that is reused while net/http still sends it, and against bytes of records that enter the
// pool.
func TestBuffersHaveOneUse(t *testing.T) {
	b := &buffer{bytes: []byte("body")}
	body := newOnceBody(b)
	releaseBuffer(b)
	if len(b.bytes) != 4 {
		t.Fatal("released while it is in use")
	}
	_ = body.Close()
	_ = body.Close()
	if n, _ := body.Read(make([]byte, 4)); n != 0 || len(b.bytes) != 0 {
		t.Fatal("read after its release")
	}
	if f := unpooledBuffer([]byte("kept")); true {
		releaseBuffer(f)
		if string(f.bytes) != "kept" {
			t.Fatal("the bytes of a record were released")
		}
	}
}

// Guards against a drain that cuts off requests in flight or queued, or admits requests after it began.
func TestDrain(t *testing.T) {
	inBubble(t, nil, plainLink, []faker.UpstreamOptions{withServiceTime(100)}, func(t *testing.T, m *mesh) {
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
			t.Errorf("the reason of the host node is missing: %s", got.Body)
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

// crashRecorder is an isolator that records the reported crashes.
type crashRecorder struct {
	mutex sync.Mutex
	keys  []isolator.Key
	hosts []string
}

func (d *crashRecorder) Check(isolator.Key) error { return nil }

func (d *crashRecorder) RecordCrash(keys []isolator.Key, host string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.keys, d.hosts = append(d.keys, keys...), append(d.hosts, host)
}

// Guards against a crash that is reported twice or without some requests that were running, and against an idempotent
// request that is retried on more than one other upstream after a crash.
func TestCrashIsReported(t *testing.T) {
	crashing := withServiceTime(100)
	crashing.Crash = func(r *http.Request) bool { return r.URL.RawQuery == "crash" }
	crashes := &crashRecorder{}
	adjust := func(o *Options) { o.Isolator = crashes }
	inBubble(t, adjust, plainLink, []faker.UpstreamOptions{crashing, crashing, crashing}, func(t *testing.T, m *mesh) {
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
		if len(crashes.hosts) != 2 || len(crashes.keys) < 4 {
			t.Errorf("crashes at %v of %d requests", crashes.hosts, len(crashes.keys))
		}
	})
}

// Guards against "not run" for an id from a caller that may have run before, when it is refused without a claim.
func TestRefusedIDMayHaveRunBefore(t *testing.T) {
	drainQueue := func(o *Options) {
		if o.Queue != nil {
			o.Queue = admitter.New(admitter.Options{Clock: o.Clock, Slots: 4})
			o.Queue.Drain()
			o.Coordinator = nil
		}
	}
	inBubble(t, drainQueue, plainLink, oneUpstream, func(t *testing.T, m *mesh) {
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

// Guards against a restarted host node that reports as not run what its previous process ran.
func TestRestartedHostNodeReportsUnknown(t *testing.T) {
	noRecords := func(o *Options) { o.Coordinator = nil }
	for _, disabled := range []bool{false, true} {
		inBubble(t, noRecords, plainLink, []faker.UpstreamOptions{
			withServiceTime(200), withServiceTime(200),
		}, func(t *testing.T, m *mesh) {
			time.AfterFunc(100*time.Millisecond, func() {
				for i, host := range m.hosts {
					options := host.Options
					options.Incarnation++
					restarted := NewHost(options)
					restarted.skipRestartCheck = disabled
					m.processes[i].Store(restarted)
					m.links[i].Cut()
				}
			})
			got := m.send(t.Context(), http.MethodPost, "/book", "")
			runs := m.runs(got.Header().Get(headerID))
			if twice := runs > 1; twice != disabled {
				t.Errorf("switch %v: %d runs, outcome %s", disabled, runs, outcomeOf(got))
			}
			if !disabled && outcomeOf(got) != classifier.OutcomeUnknown {
				t.Errorf("outcome %s", outcomeOf(got))
			}
		})
	}
}

// Guards against a sender that stalls in the middle of a body and blocks the handler, and with it a drain, permanently.
func TestStalledBodyEndsByTheDeadline(t *testing.T) {
	inBubble(t, nil, plainLink, oneUpstream, func(t *testing.T, m *mesh) {
		m.serve("entry:1", m.entry)
		for address, head := range map[string]string{
			"entry:1":  "POST /book HTTP/1.1\r\n",
			"host-a:1": "POST /forward HTTP/1.1\r\n" + forwardHeaders(),
		} {
			conn, err := m.network.Dial(t.Context(), "tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			started := time.Now()
			_, _ = conn.Write([]byte(head + "Host: wick.example\r\nContent-Length: 100\r\n\r\npart"))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || response.Header.Get(HeaderCode) != "204" || time.Since(started) > 2*time.Second {
				t.Fatalf("%s: %+v, error %v after %v", address, response, err, time.Since(started))
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
