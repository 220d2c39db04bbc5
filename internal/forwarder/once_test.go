package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/bubbler"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/comparer"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/retrier"
	"github.com/jasmineproxy/jasmineproxy/internal/router"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// breakHeader tells a breakingServer how to break the connection of a request.
const breakHeader = "X-Break"

// Ways in which a breakingServer breaks the connection of a request that it has read and counted.
const (
	breakReset   = "reset"   // resets it
	breakClose   = "close"   // closes it
	breakInterim = "interim" // sends an interim response, then closes it
	breakBody    = "body"    // closes it after the head, while the body is sent
)

// breakingServer is an HTTP server on a real socket that counts the requests it receives, by id. In the place of a host
// node it counts attempts.
type breakingServer struct {
	listener net.Listener
	mutex    sync.Mutex
	received map[string]int
}

func newBreakingServer(t *testing.T) *breakingServer {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &breakingServer{listener: listener, received: make(map[string]int)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *breakingServer) address() string { return s.listener.Addr().String() }

func (s *breakingServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.count(request)
		way := request.Header.Get(breakHeader)
		if way != breakBody {
			_, _ = io.Copy(io.Discard, request.Body)
		}
		switch way {
		case "":
			answers := request.Header.Get(headerForward)
			if answers != "" {
				j, _ := decodeJob(request.Header)
				answers = headerAnswers + ": " + j.key().String() + "\r\n" + HeaderOutcome + ": answered\r\n"
			}
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", answers)
			continue
		case breakReset:
			if tcp, ok := conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
		case breakInterim:
			_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
		}
		return
	}
}

func (s *breakingServer) count(request *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	id := request.Header.Get(headerID)
	if j, err := decodeJob(request.Header); err == nil {
		id = j.ID + " " + strconv.Itoa(j.Attempt)
	}
	s.received[id]++
}

// times returns how often the server received an id or an attempt.
func (s *breakingServer) times(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.received[id]
}

// onceView has a call for each kind of request, without a method, as hosted nodes have them.
func onceView() *compiler.View {
	view := testView()
	view.Accounts[0].Calls = []compiler.Call{
		{Name: "unsafe", Service: service, Path: "/unsafe/", Rank: "urgent", Timeout: 2000},
		{Name: "safe", Service: service, Path: "/safe/", Rank: "urgent", Timeout: 2000, Idempotent: true},
		{Name: "below", Service: service, Path: "/unsafe/below/", Rank: "urgent", Timeout: 2000, Idempotent: true},
	}
	return view
}

// newOnceEntry returns an entry node that sends to host nodes at addresses, and may retry.
func newOnceEntry(t *testing.T, peers ...string) *Entry {
	t.Helper()
	clock := timekeeper.System()
	members := make([]tracker.Member, 0, len(peers))
	for i, peer := range peers {
		members = append(members, tracker.Member{
			Name: string(rune('a' + i)), Zone: "a", Service: service, Peer: peer, Slots: 4, State: tracker.StateReady,
		})
	}
	o := Options{
		Clock: clock, Name: "entry", Zone: "a", Views: fixedViews{onceView()}, OpaqueIDs: true, MaxBody: 8 << 20,
		Retrier: retrier.New(retrier.Options{Clock: clock}),
		Picker:  router.NewPicker(router.Options{Directory: fixedDirectory(members), Clock: clock, Zone: "a"}),
	}
	entry := NewEntry(o)
	t.Cleanup(entry.Close)
	return entry
}

// newOnceHost starts a host node of an upstream and returns the node's address.
func newOnceHost(t *testing.T, name, upstream string) (*Host, string) {
	t.Helper()
	clock := timekeeper.System()
	host := NewHost(Options{
		Clock: clock, Name: name, Upstream: upstream, OpaqueIDs: true, MaxBody: 8 << 20,
		Queue: admitter.New(admitter.Options{Clock: clock, Slots: 4}),
	})
	server := httptest.NewUnstartedServer(host)
	server.Config.ErrorLog = log.New(panicReporter{t}, "", 0)
	server.Start()
	t.Cleanup(func() {
		server.Close()
		host.Close()
	})
	return host, strings.TrimPrefix(server.URL, "http://")
}

// panicReporter fails the test when an HTTP server logs a panic.
type panicReporter struct{ t *testing.T }

// Write implements io.Writer.
func (p panicReporter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte("panic")) {
		p.t.Errorf("host node: %s", bytes.SplitN(line, []byte("\n"), 2)[0])
	}
	return len(line), nil
}

// onceCase is a request whose answer is lost.
type onceCase struct {
	method, kind, body, way string
	kept                    bool // the connection to the upstream was used before
}

func onceCases() []onceCase {
	methods := []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
		http.MethodOptions, http.MethodTrace, "BREW",
	}
	all := make([]onceCase, 0, 48*len(methods))
	for _, method := range methods {
		for _, body := range []string{"", "short", strings.Repeat("x", 1<<20)} {
			for _, way := range []string{breakReset, breakClose, breakInterim, breakBody} {
				for _, kept := range []bool{false, true} {
					all = append(all, onceCase{method, "unsafe", body, way, kept}, onceCase{method, "safe", body, way, kept})
				}
			}
		}
	}
	return all
}

func (c onceCase) String() string {
	return fmt.Sprintf("%s, %s, body of %d bytes, %s, kept connection %v", c.method, c.kind, len(c.body), c.way, c.kept)
}

// play sends the request and returns its outcome and the number of attempts that the entry node made.
func (c onceCase) play(ctx context.Context, entry *Entry, id string) (outcome classifier.Outcome, attempts int) {
	send := func(id, way string) *httptest.ResponseRecorder {
		r := httptest.NewRequestWithContext(ctx, c.method, "http://wick.example/"+c.kind+"/1", strings.NewReader(c.body))
		r.Header.Set(headerID, id)
		r.Header.Set("Idempotency-Key", "1") // net/http takes it as permission to repeat a request
		if way != "" {
			r.Header.Set(breakHeader, way)
		}
		recorder := httptest.NewRecorder()
		entry.ServeHTTP(recorder, r)
		return recorder
	}
	for range 100 {
		entry.Retrier.RecordFirstAttempt(service) // fills the retry budget
	}
	if c.kept {
		send(id+"-before", "")
	}
	recorder := send(id, c.way)
	attempts, _ = strconv.Atoi(recorder.Header().Get(HeaderAttempts))
	return outcomeOf(recorder), max(attempts, 1)
}

// Guards against a request that net/http sends once more when a connection breaks: requests with OPTIONS and TRACE and
// no body ran twice on a kept connection. Only the entry node decides on another attempt, by the kind of the route.
func TestLostAnswerOfTheUpstream(t *testing.T) {
	upstream := newBreakingServer(t)
	first, firstAddress := newOnceHost(t, "a", upstream.address())
	second, secondAddress := newOnceHost(t, "b", upstream.address())
	entry := newOnceEntry(t, firstAddress, secondAddress)
	got, want := make(map[string]string), make(map[string]string)
	for i, c := range onceCases() {
		first.transport.CloseIdleConnections()
		second.transport.CloseIdleConnections()
		id := fmt.Sprint("request-", i)
		outcome, attempts := c.play(t.Context(), entry, id)
		runs := upstream.times(id)
		got[c.String()] = fmt.Sprintf("runs %d, outcome %s", runs, outcome)
		want[c.String()] = "runs 1, outcome unknown"
		if c.kind == "safe" && runs >= 1 && runs <= attempts {
			want[c.String()] = fmt.Sprintf("runs %d, outcome unknown", runs)
		}
	}
	if diff := diffUnequal(want, got); diff != "" {
		t.Errorf("runs differ (-want +got):\n%s", diff)
	}
}

// Guards against an attempt that the entry node's transport sends to the host node once more.
func TestLostAnswerOfTheHostNode(t *testing.T) {
	peer := newBreakingServer(t)
	entry := newOnceEntry(t, peer.address())
	got, want := make(map[string]string), make(map[string]string)
	for i, c := range onceCases() {
		entry.transport.CloseIdleConnections()
		id := fmt.Sprint("request-", i)
		outcome, attempts := c.play(t.Context(), entry, id)
		for attempt := range attempts {
			name := fmt.Sprintf("%s, attempt %d", c, attempt+1)
			got[name] = fmt.Sprintf("%d times, outcome %s", peer.times(id+" "+strconv.Itoa(attempt+1)), outcome)
			want[name] = "1 times, outcome unknown"
		}
		if c.kind == "unsafe" && attempts > 1 {
			t.Errorf("%s: %d attempts", c, attempts)
		}
	}
	if diff := diffUnequal(want, got); diff != "" {
		t.Errorf("attempts at the host node differ (-want +got):\n%s", diff)
	}
}

// diffUnequal returns the difference of two maps without the entries that are equal.
func diffUnequal(want, got map[string]string) string {
	wanted, found := maps.Clone(want), maps.Clone(got)
	maps.DeleteFunc(wanted, func(name, text string) bool { return got[name] == text })
	maps.DeleteFunc(found, func(name, text string) bool { return want[name] == text })
	return cmp.Diff(wanted, found)
}

// Guards against an empty body that reaches the upstream in chunks, or with another length than its caller stated, as a
// consequence of the body that keeps net/http from repeating requests.
func TestEmptyBodyReachesTheUpstream(t *testing.T) {
	heads := make(chan string, 1)
	upstream := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		heads <- fmt.Sprintf("length %q encoding %q body %q", r.Header["Content-Length"], r.TransferEncoding, body)
	}))
	defer upstream.Close()
	_, peer := newOnceHost(t, "a", strings.TrimPrefix(upstream.URL, "http://"))
	entry := httptest.NewServer(newOnceEntry(t, peer))
	defer entry.Close()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", strings.TrimPrefix(entry.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	var text strings.Builder
	for _, method := range []string{"GET", "POST", "DELETE", "OPTIONS", "TRACE", "BREW"} {
		for _, framing := range []string{
			"\r\n", "Content-Length: 0\r\n\r\n", "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "Content-Length: 1\r\n\r\nx",
		} {
			_, _ = io.WriteString(conn, method+" /safe/ HTTP/1.1\r\nHost: wick.example\r\n"+framing)
			response, err := http.ReadResponse(reader, nil)
			if err != nil || response.StatusCode != http.StatusOK {
				t.Fatalf("%s %q: %+v, error %v", method, framing, response, err)
			}
			_ = response.Body.Close()
			fmt.Fprintf(&text, "%s %q: %s\n", method, framing, <-heads)
		}
	}
	comparer.Golden(t, "framing.golden", text.String())
}

// Guards against a failure of a request of which no byte was sent, because its kept connection had closed: it is sent
// over another connection, without another attempt.
func TestUnsentRequestIsSentAgain(t *testing.T) {
	upstream := newBreakingServer(t)
	host, peer := newOnceHost(t, "a", upstream.address())
	entry := newOnceEntry(t, peer)
	for name, transport := range map[string]*http.Transport{"entry": entry.transport, "host": host.transport} {
		var closed atomic.Bool
		dial := transport.DialContext
		transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			if observed, ok := conn.(*observedConn); ok {
				observed.Conn = &closingConn{observed.Conn, &closed}
			}
			return conn, err
		}
		for _, body := range []string{"", "short"} {
			transport.CloseIdleConnections()
			c, id := onceCase{method: http.MethodPost, kind: "unsafe", body: body}, name+body
			c.play(t.Context(), entry, "before-"+id)
			closed.Store(true)
			outcome, attempts := c.play(t.Context(), entry, id)
			if outcome != classifier.OutcomeAnswered || attempts != 1 || upstream.times(id) != 1 || closed.Load() {
				t.Errorf("%s, body %q: outcome %s, %d attempts, %d runs", name, body, outcome, attempts, upstream.times(id))
			}
		}
	}
}

// closingConn is a connection whose next write fails before its first byte once closed is set.
type closingConn struct {
	net.Conn
	closed *atomic.Bool
}

// Write implements io.Writer.
func (c *closingConn) Write(content []byte) (int, error) {
	if c.closed.Swap(false) {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(content)
}

// Guards against a request that is taken as unsent, and sent again, because a second answer to the request before it
// was read and rejected while it was still to be written.
func TestLateAnswerBeforeTheRequestIsWritten(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		var runs atomic.Int64
		release := make(chan struct{})
		transport := newTransport(func(context.Context, string, string) (net.Conn, error) {
			upstream, host := net.Pipe()
			go func() {
				defer func() { _ = upstream.Close() }()
				reader := bufio.NewReader(upstream)
				for {
					request, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, request.Body)
					runs.Add(1)
					_, _ = io.WriteString(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
					if runs.Load() == 1 {
						<-time.After(time.Second)
						_, _ = io.WriteString(upstream, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
					}
				}
			}()
			return &heldConn{Conn: host, release: release}, nil
		}, 0, upstreamHeadLines)
		defer transport.CloseIdleConnections()
		send := func(next http.RoundTripper) (*usedConnection, error) {
			response, used, err := roundTrip(t.Context(), next, true, func(ctx context.Context) *http.Request {
				request, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://upstream", nil)
				setNoContent(request, true)
				return request
			})
			if err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			return used, err
		}
		if _, err := send(transport); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(1010*time.Millisecond, func() { close(release) }) // right after the second answer
		used, err := send(rejectingTransport{transport})
		<-time.After(time.Minute)
		if err == nil || used.unsent || runs.Load() > 2 {
			t.Errorf("error %v, unsent %v, %d runs of two requests", err, used.unsent, runs.Load())
		}
	})
}

// heldConn holds back all writes after the first one until release is closed. Its Close does not stop a held write.
type heldConn struct {
	net.Conn
	release chan struct{}
	writes  int
}

// Write implements io.Writer.
func (c *heldConn) Write(content []byte) (int, error) {
	if c.writes++; c.writes > 1 {
		<-c.release
	}
	return c.Conn.Write(content)
}

// Close implements io.Closer.
func (c *heldConn) Close() error {
	time.AfterFunc(time.Second, func() { _ = c.Conn.Close() })
	return nil
}

// rejectingTransport rejects every response.
type rejectingTransport struct{ next http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (r rejectingTransport) RoundTrip(request *http.Request) (*http.Response, error) {
	response, err := r.next.RoundTrip(request)
	if err == nil {
		_ = response.Body.Close()
		err = errors.New("the response is not the answer to this request")
	}
	return nil, err
}

// Guards against a connection between nodes that breaks after the response to a long body that the upstream did not
// read: net/http panics when it reads the next request, and requests that are sent on the connection have an unknown
// outcome.
func TestUpstreamLeavesALongBody(t *testing.T) {
	upstream := newBreakingServer(t)
	_, peer := newOnceHost(t, "a", upstream.address())
	entry := newOnceEntry(t, peer)
	for i := range 20 {
		long := onceCase{method: http.MethodPost, kind: "unsafe", body: strings.Repeat("x", 200<<10), way: breakBody}
		long.play(t.Context(), entry, fmt.Sprint("long-", i))
		short := onceCase{method: http.MethodPost, kind: "unsafe", body: "short"}
		if outcome, _ := short.play(t.Context(), entry, fmt.Sprint("short-", i)); outcome != classifier.OutcomeAnswered {
			t.Errorf("outcome %s of a short request after one with a long body", outcome)
		}
	}
}

// Guards against a request that may not be repeated and runs twice, since an encoded slash in its path selects a call
// that may.
func TestKindFollowsThePathAsSent(t *testing.T) {
	upstream := newBreakingServer(t)
	_, peer := newOnceHost(t, "a", upstream.address())
	entry := newOnceEntry(t, peer)
	got, want := make(map[string]int), map[string]int{"unsafe/below%2F": 1, "unsafe/below/": 3, "unsafe/%62elow/": 1}
	for kind := range want {
		onceCase{method: http.MethodPost, kind: kind, way: breakReset}.play(t.Context(), entry, kind)
		got[kind] = upstream.times(kind)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("runs differ (-want +got):\n%s", diff)
	}
}
