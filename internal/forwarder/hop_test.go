package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

var (
	discardLog  = log.New(io.Discard, "", 0)
	plainLink   = faker.LinkOptions{}
	oneUpstream = []faker.UpstreamOptions{{}}
)

// echo responds with what it received.
func echo(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	w.Header().Set("X-Seen", r.Method+" "+r.URL.RequestURI()+" "+r.Host+" "+r.Header.Get("X-Given"))
	w.Header().Set("Jasmine-Code", "999")
	w.WriteHeader(http.StatusCreated)
	_, _ = w.Write(body)
}

// Guards against a hop that changes the method, path, host, headers, status or body of a request or response, short or
// long.
func TestHopIsTransparent(t *testing.T) {
	inBubble(t, nil, plainLink, []faker.UpstreamOptions{{Answer: echo}}, func(t *testing.T, m *mesh) {
		for _, size := range []int{0, 1, maxBufferedBytes, maxBufferedBytes + 1, 300_000} {
			body := strings.Repeat("x", size)
			got := m.send(t.Context(), http.MethodPost, "/book/9%2F?day=2", body, "X-Given", "yes", "Idempotency-Key", "1")
			seen := got.Header().Get("X-Seen")
			if got.Code != http.StatusCreated || got.Body.String() != body || outcomeOf(got) != classifier.OutcomeAnswered ||
				seen != "POST /book/9%2F?day=2 wick.example yes" || got.Header().Get(HeaderCode) != "0" {
				t.Errorf("size %d: status %d, %d bytes, header %v", size, got.Code, got.Body.Len(), got.Header())
			}
			if id := got.Header().Get(headerID); !validID(id) || m.runs(id) != 1 {
				t.Errorf("size %d: id %q ran %d times", size, id, m.runs(id))
			}
		}
	})
}

// Guards against an upstream that responds before it has read a long request body and reads the rest while it responds:
// it must get the bytes that are due, never later bytes in the place of earlier ones, and its answer must be delivered
// whole. The node's HTTP server discards or closes an unread request body when a response begins, while the transport
// to the upstream still reads it.
func TestUpstreamRespondsBeforeReadingTheBody(t *testing.T) {
	for _, numbers := range []int{20_000, 33_000, 90_000} {
		var due strings.Builder
		for i := range numbers {
			due.WriteString(strconv.Itoa(10_000+i) + ".")
		}
		for _, length := range []int{10, 2 * maxBufferedBytes, 10 * maxBufferedBytes} {
			var received []byte
			answer := func(connection net.Conn) {
				request, _ := http.ReadRequest(bufio.NewReader(connection))
				half := make([]byte, length/2)
				_, _ = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", length, half)
				<-time.After(10 * time.Millisecond)
				received, _ = io.ReadAll(request.Body)
				_, _ = connection.Write(half)
			}
			adjust := func(o *Options) {
				if o.Upstream != "" {
					o.Dial = func(context.Context, string, string) (net.Conn, error) {
						upstream, host := net.Pipe() // unbuffered, so that the rest of the body waits at the host node
						go answer(upstream)
						return host, nil
					}
				}
			}
			inBubble(t, adjust, plainLink, oneUpstream, func(t *testing.T, m *mesh) {
				defer func() {
					if recover() != nil {
						t.Errorf("body of %d bytes, answer of %d: the answer broke off", due.Len(), length)
					}
				}()
				got := m.send(t.Context(), http.MethodPost, "/book", due.String())
				if got.Code != http.StatusOK || got.Body.Len() != length {
					t.Errorf("body of %d bytes, answer of %d: status %d, %d bytes", due.Len(), length, got.Code, got.Body.Len())
				}
				<-time.After(time.Second)
				synctest.Wait()
				if string(received) != due.String() {
					t.Errorf("body of %d bytes, answer of %d: the upstream read %d bytes, the start of the body is %v",
						due.Len(), length, len(received), strings.HasPrefix(due.String(), string(received)))
				}
			})
		}
	}
}

// Guards against a response to HEAD that loses its Content-Length or gets a body.
func TestHead(t *testing.T) {
	answer := func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "70000") }
	inBubble(t, nil, plainLink, []faker.UpstreamOptions{{Answer: answer}}, func(t *testing.T, m *mesh) {
		for range 2 { // the second request checks that the reused connections are still in sync
			got := m.send(t.Context(), http.MethodHead, "/peek", "")
			if got.Code != http.StatusOK || got.Header().Get("Content-Length") != "70000" || got.Body.Len() != 0 {
				t.Errorf("status %d, %d bytes, header %v", got.Code, got.Body.Len(), got.Header())
			}
		}
	})
}

// Guards against invalid requests that the entry node accepts or refuses with a wrong code.
func TestValidation(t *testing.T) {
	future := newID(timekeeper.System().Now() + 60_000)
	inBubble(t, nil, plainLink, oneUpstream, func(t *testing.T, m *mesh) {
		for _, c := range []struct {
			method, path, body, header, value string
			code                              classifier.Code
		}{
			{"GET", "/other", "", "", "", classifier.CodeUnknownCall},
			{"POST", "/book", strings.Repeat("x", defaultMaxBody+1), "", "", classifier.CodeBodyTooLarge},
			{"GET", "/check", "", headerDeadline, "0", classifier.CodeDeadlinePassed},
			{"GET", "/check", "", headerDeadline, "soon", classifier.CodeBadRequest},
			{"GET", "/check", "", headerID, "17", classifier.CodeIDMalformed},
			{"GET", "/check", "", headerID, "0192f7a0-0000-4000-8000-000000000000", classifier.CodeIDMalformed},
			{"GET", "/check", "", headerID, future, classifier.CodeIDFuture},
			{"GET", "/audit", "", headerInternal, "guess", classifier.CodeInternalCall},
			{"GET", "/audit", "", headerInternal, "secret", classifier.CodeOK},
			{"GET", "/check", "", headerDepth, "16", classifier.CodeTooDeep},
			{"GET", "/check", "", headerDepth, "15", classifier.CodeOK},
		} {
			got := m.send(t.Context(), c.method, c.path, c.body, c.header, c.value)
			want := classifier.OutcomeNotRun
			if c.code == classifier.CodeOK {
				want = classifier.OutcomeAnswered
			}
			if got.Header().Get(HeaderCode) != strconv.Itoa(int(c.code)) || outcomeOf(got) != want {
				t.Errorf("%s %s %s=%s: %d %v", c.method, c.path, c.header, c.value, got.Code, got.Header())
			}
		}
		if runs, _, _ := m.upstreams[0].Totals(); runs != 2 {
			t.Errorf("%d requests reached the upstream", runs)
		}
	})
}

// replaceHost replaces the first host node by a faulty one that responds with the handler.
func replaceHost(m *mesh, respond http.HandlerFunc) {
	m.serve("faulty:1", respond)
	m.members[0] = tracker.Member{
		Name: "faulty", Zone: "a", Service: service, Peer: "faulty:1", Slots: 1000, State: tracker.StateReady,
	}
}

func markAnswered(w http.ResponseWriter, r *http.Request, otherID string) {
	j, _ := decodeJob(r.Header)
	key := j.key()
	if otherID != "" {
		key.id = otherID
	}
	w.Header().Set(headerAnswers, key.String())
	w.Header().Set(HeaderOutcome, string(classifier.OutcomeAnswered))
}

// Guards against a truncated response that is delivered as complete: an idempotent request is retried, any other gets
// an unknown outcome.
func TestTruncatedResponses(t *testing.T) {
	truncated := func(w http.ResponseWriter, r *http.Request) {
		markAnswered(w, r, "")
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("part"))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	twoUpstreams := []faker.UpstreamOptions{{}, {}}
	send := func(deliver bool, method, path string) *httptest.ResponseRecorder {
		var got *httptest.ResponseRecorder
		inBubble(t, nil, plainLink, twoUpstreams, func(t *testing.T, m *mesh) {
			replaceHost(m, truncated)
			m.entry.deliverTruncated = deliver
			m.entry.Picker.RecordStart("b") // so that the faulty node is chosen first
			got = m.send(t.Context(), method, path, "")
		})
		return got
	}
	got := send(false, http.MethodGet, "/check")
	if got.Code != http.StatusOK || !strings.HasPrefix(got.Body.String(), "ran ") {
		t.Errorf("idempotent: %d %s", got.Code, got.Body)
	}
	if got := send(false, http.MethodPost, "/book"); outcomeOf(got) != classifier.OutcomeUnknown {
		t.Errorf("not idempotent: %d %s", got.Code, got.Body)
	}
	if got := send(true, http.MethodGet, "/check"); !strings.HasPrefix(got.Body.String(), "part") {
		t.Errorf("without the check a truncated answer is not delivered either: %s", got.Body)
	}
}

// Guards against a long response that breaks off and looks complete to the caller.
func TestInterruptedLongResponse(t *testing.T) {
	answer := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "500000")
		_, _ = w.Write(make([]byte, 300_000))
		panic(http.ErrAbortHandler)
	}
	inBubble(t, nil, plainLink, []faker.UpstreamOptions{{Answer: answer}}, func(t *testing.T, m *mesh) {
		defer func() {
			if recover() == nil {
				t.Error("the handler returned as if the answer were whole")
			}
		}()
		m.send(t.Context(), http.MethodGet, "/check", "")
	})
}

// Guards against a response that is delivered to another request, when host nodes respond late or mix up responses.
func TestResponsesMatchTheirRequest(t *testing.T) {
	crossed := func(w http.ResponseWriter, r *http.Request) {
		markAnswered(w, r, "0192f7a0-0000-7000-8000-000000000000")
		_, _ = w.Write([]byte("of another"))
	}
	for _, disabled := range []bool{false, true} {
		inBubble(t, nil, plainLink, []faker.UpstreamOptions{{}, {}}, func(t *testing.T, m *mesh) {
			replaceHost(m, crossed)
			m.entry.skipMatch = disabled
			m.entry.Picker.RecordStart("b")
			got := m.send(t.Context(), http.MethodGet, "/check", "")
			if own := got.Body.String() == "ran "+got.Header().Get(headerID)+"\n"; own == disabled {
				t.Errorf("switch %v: %s", disabled, got.Body)
			}
		})
	}
	delayed := faker.UpstreamOptions{ServiceTime: func(r *http.Request) timekeeper.Millis {
		return timekeeper.Millis(len(r.URL.RawQuery)) * 20
	}}
	link := faker.LinkOptions{Delay: 4, Jitter: 10}
	inBubble(t, nil, link, []faker.UpstreamOptions{delayed, delayed}, func(t *testing.T, m *mesh) {
		var group sync.WaitGroup
		for i := range 60 {
			group.Go(func() {
				got := m.send(t.Context(), http.MethodGet, "/check?"+strings.Repeat("x", i%12), "", headerDeadline, "150")
				if outcomeOf(got) == classifier.OutcomeAnswered && got.Body.String() != "ran "+got.Header().Get(headerID)+"\n" {
					t.Errorf("request %s got %s", got.Header().Get(headerID), got.Body)
				}
			})
		}
		group.Wait()
	})
}

// Guards against a cancellation that does not reach the upstream, and against one that ends a non-idempotent run.
func TestCancellation(t *testing.T) {
	for _, c := range []struct {
		method, path string
		ended        int
	}{{http.MethodGet, "/check", 0}, {http.MethodPost, "/book", 1}} {
		inBubble(t, nil, plainLink, []faker.UpstreamOptions{withServiceTime(500)}, func(t *testing.T, m *mesh) {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(100*time.Millisecond, cancel)
			got := m.send(ctx, c.method, c.path, "")
			synctest.Wait()
			if running := m.upstreams[0].Running(); running != c.ended {
				t.Errorf("%s: %d runs after the cancellation", c.method, running)
			}
			<-time.After(time.Second)
			if ended := m.upstreams[0].Completed(got.Header().Get(headerID)); ended != c.ended {
				t.Errorf("%s: %d runs to the end", c.method, ended)
			}
		})
	}
}

// Guards against a second run of an id, a repeated id that does not get the first answer, and an outcome that another
// client account can read.
func TestRepeatedID(t *testing.T) {
	inBubble(t, nil, plainLink, []faker.UpstreamOptions{withServiceTime(30)}, func(t *testing.T, m *mesh) {
		id := newID(m.entry.Clock.Now())
		var group sync.WaitGroup
		for range 5 {
			group.Go(func() {
				got := m.send(t.Context(), http.MethodPost, "/book", "", headerID, id)
				if got.Body.String() != "ran "+id+"\n" {
					t.Errorf("%d %s", got.Code, got.Body)
				}
			})
		}
		group.Wait()
		if m.runs(id) != 1 {
			t.Errorf("the id ran %d times", m.runs(id))
		}
		if got := m.send(t.Context(), http.MethodGet, outcomePath+id, ""); got.Body.String() != "ran "+id+"\n" {
			t.Errorf("outcome: %d %s", got.Code, got.Body)
		}
		m.records.known[id] = doneRecord("ochre")
		if got := m.send(t.Context(), http.MethodGet, outcomePath+id, ""); outcomeOf(got) != classifier.OutcomeUnknown {
			t.Errorf("outcome of another account: %d %s", got.Code, got.Body)
		}
	})
}
