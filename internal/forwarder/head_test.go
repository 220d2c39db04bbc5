package forwarder

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// cutAnswer is an answer that a server breaks off after some bytes. The %s in its head stands for the header lines that
// a host node adds.
type cutAnswer struct {
	head, body string
	byClose    bool // the body has no length and ends with the connection
}

var cutAnswers = map[string]cutAnswer{
	"length": {"HTTP/1.1 200 OK\r\n%sContent-Length: 10\r\nX-A: b\r\n\r\n", "0123456789", false},
	"empty":  {"HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", "", false},
	"chunks": {
		"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n", false,
	},
	"trailer": {
		"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n", "3\r\n012\r\n0\r\nX-T: u\r\n\r\n", false,
	},
	"until close": {"HTTP/1.1 200 OK\r\nX-A: b\r\n%sX-C: d\r\n\r\n", "0123456789", true},
	"after interims": {
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" +
			"%sContent-Length: 3\r\n\r\n", "012", false,
	},
	"no content":     {"HTTP/1.1 204 No Content\r\nX-A: b\r\n%sX-C: d\r\n\r\n", "", false},
	"line feeds":     {"HTTP/1.1 200 OK\n%sContent-Length: 3\n\n", "012", false},
	"continued line": {"HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\n%sContent-Length: 3\r\n\r\n", "012", false},
	"long":           {"HTTP/1.1 200 OK\r\n%sContent-Length: 200000\r\n\r\n", strings.Repeat("x", 200_000), false},
	"long, chunks": {
		"HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n",
		strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", 200) + "0\r\n\r\n", false,
	},
}

const (
	// closeCuts is the start of a body in which the answer is broken off after each byte, and cutStep the distance of two
	// cuts after that.
	closeCuts = 20
	cutStep   = 9973
)

// cuts returns the lengths at which the answer is broken off.
func (a *cutAnswer) cuts(head string) []int {
	end := len(head) + len(a.body)
	if a.byClose {
		end = len(head) // any length of such a body is whole
	}
	var cuts []int
	for i := 0; i < end; i++ {
		cuts = append(cuts, i)
		if i >= len(head)+closeCuts {
			i += cutStep - 1
		}
	}
	return cuts
}

var errReset = errors.New("the connection was reset")

// resettableListener accepts connections of the in-memory network that can be reset as those of TCP.
type resettableListener struct {
	net.Listener
	accepted chan *resettableConn
}

// Accept implements net.Listener.
func (r *resettableListener) Accept() (net.Conn, error) {
	conn, err := r.Listener.Accept()
	if err != nil {
		return nil, err
	}
	accepted := &resettableConn{Conn: conn}
	r.accepted <- accepted
	return accepted, nil
}

type resettableConn struct {
	net.Conn
	reset atomic.Bool
}

// SetLinger has the effect that it has on a TCP connection that is closed next.
func (r *resettableConn) SetLinger(seconds int) error {
	r.reset.Store(seconds == 0)
	return nil
}

// exchangeRaw sends a request over a new connection to the entry node, and returns the status of a complete response or
// an error.
func exchangeRaw(
	t *testing.T, m *mesh, entry *resettableListener, method, path, version string,
) (status int, body string, err error) {
	t.Helper()
	conn, err := m.network.Dial(t.Context(), "tcp", "entry:1")
	if err != nil {
		t.Fatal(err)
	}
	accepted := <-entry.accepted
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "%s %s %s\r\nHost: wick.example\r\nContent-Length: 0\r\n\r\n", method, path, version)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return 0, "", err
	}
	content, err := io.ReadAll(response.Body)
	if accepted.reset.Load() {
		err = errReset
	}
	return response.StatusCode, string(content), errors.Join(err, response.Body.Close())
}

// checkCuts expects that no cut answer looks whole to the client, and that the whole one does.
func checkCuts(t *testing.T, name string, a *cutAnswer, cut *int, head string, send func() (int, string, error)) {
	t.Helper()
	for _, *cut = range a.cuts(head) {
		if status, body, err := send(); err == nil && status < http.StatusMultipleChoices {
			t.Errorf("%s: broken off after %d of %d bytes of the head and %d of the body: status %d with %d bytes",
				name, min(*cut, len(head)), len(head), max(*cut-len(head), 0), status, len(body))
		}
	}
	*cut = len(head) + len(a.body)
	if status, _, err := send(); err != nil || status >= http.StatusMultipleChoices {
		t.Errorf("%s: whole answer: status %d, error %v", name, status, err)
	}
}

// checkRequests checks the cuts for requests of both versions of HTTP, idempotent or not.
func checkRequests(t *testing.T, m *mesh, name string, a *cutAnswer, cut *int, head string) {
	t.Helper()
	entry := &resettableListener{m.network.Listen("entry:1"), make(chan *resettableConn, 1)}
	server := &http.Server{Handler: m.entry, ReadHeaderTimeout: time.Minute, ErrorLog: discardLog}
	go func() { _ = server.Serve(entry) }()
	defer func() { _ = server.Close() }()
	for _, request := range [][3]string{
		{http.MethodPost, "/book", "HTTP/1.1"},
		{http.MethodGet, "/check", "HTTP/1.1"},
		{http.MethodPost, "/book", "HTTP/1.0"},
	} {
		checkCuts(t, name+" "+request[2], a, cut, head, func() (int, string, error) {
			return exchangeRaw(t, m, entry, request[0], request[1], request[2])
		})
	}
	<-time.After(time.Minute) // lets connections end
}

// cutText returns the start of an answer, up to cut.
func cutText(a *cutAnswer, head string, cut *int) string {
	return (head + a.body)[:min(*cut, len(head)+len(a.body))]
}

// Guards against an answer that an upstream breaks off, in its head or body or between both, and that a client gets as
// a whole one.
func TestUpstreamBreaksOff(t *testing.T) {
	for name, a := range cutAnswers {
		cut, head := 0, fmt.Sprintf(a.head, "")
		adjust := func(o *Options) {
			o.Coordinator = nil
			if o.Upstream != "" {
				o.Prober = nil
				o.Dial = func(context.Context, string, string) (net.Conn, error) {
					upstream, host := net.Pipe()
					go func() {
						defer func() { _ = upstream.Close() }()
						if request, err := http.ReadRequest(bufio.NewReader(upstream)); err == nil {
							_, _ = io.Copy(io.Discard, request.Body)
							_, _ = io.WriteString(upstream, cutText(&a, head, &cut))
						}
					}()
					return host, nil
				}
			}
		}
		inBubble(t, adjust, plainLink, oneUpstream, func(t *testing.T, m *mesh) {
			checkRequests(t, m, name, &a, &cut, head)
		})
	}
}

// serveFaultyHost makes a node whose responses answer returns the only member of the mesh.
func serveFaultyHost(t *testing.T, m *mesh, answer func(j *job) string) {
	t.Helper()
	listener := m.network.Listen("faulty:1")
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				request, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil || request.Method == http.MethodConnect {
					return
				}
				j, err := decodeJob(request.Header)
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, answer(j))
			}()
		}
	}()
	m.members[0] = tracker.Member{
		Name: "faulty", Zone: "a", Service: service, Peer: "faulty:1", Slots: 1000, State: tracker.StateReady,
	}
}

// Guards against a response that a host node breaks off and that a client gets as a whole one.
func TestHostBreaksOff(t *testing.T) {
	for name, a := range cutAnswers {
		cut, head := 0, ""
		inBubble(t, nil, plainLink, oneUpstream, func(t *testing.T, m *mesh) {
			serveFaultyHost(t, m, func(j *job) string { return cutText(&a, fmt.Sprintf(a.head, hostHeaders(j)), &cut) })
			head = fmt.Sprintf(a.head, hostHeaders(&job{ID: newID(0)}))
			checkRequests(t, m, name, &a, &cut, head)
		})
	}
}

// Guards against a malformed response of a host node that ends the handler of the entry node with a panic, or that a
// client gets.
func TestHostAnswersMalformed(t *testing.T) {
	for name, head := range map[string]string{
		"status 000":          "HTTP/1.1 000 Odd\r\n",
		"status 099":          "HTTP/1.1 099 Odd\r\n",
		"status 600":          "HTTP/1.1 600 Odd\r\n",
		"another protocol":    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: odd\r\nConnection: Upgrade\r\n",
		"a blank in a name":   "HTTP/1.1 200 OK\r\nX Odd: odd\r\n",
		"a blank after one":   "HTTP/1.1 200 OK\r\nX-Odd : odd\r\n",
		"a control character": "HTTP/1.1 200 OK\r\nX\x01Odd: odd\r\n",
	} {
		inBubble(t, nil, plainLink, oneUpstream, func(t *testing.T, m *mesh) {
			m.entry.noResolve = true
			serveFaultyHost(t, m, func(j *job) string { return head + hostHeaders(j) + "Content-Length: 4\r\n\r\ndone" })
			defer func() {
				if cause := recover(); cause != nil {
					t.Errorf("%s: panic: %v", name, cause)
				}
			}()
			got := m.send(t.Context(), http.MethodPost, "/book", "x")
			if outcomeOf(got) != classifier.OutcomeUnknown || got.Code != http.StatusBadGateway {
				t.Errorf("%s: status %d, outcome %s: %s", name, got.Code, outcomeOf(got), got.Body)
			}
		})
	}
}

// hostHeaders returns the header lines of a host node's response. Their length does not depend on the job.
func hostHeaders(j *job) string {
	key := j.key().String()
	return headerAnswers + ": " + key + "\r\nX-Pad: " + strings.Repeat("p", 80-len(key)) + "\r\n" + HeaderOutcome +
		": answered\r\n"
}

// Guards against a response that is no final answer, such as a change of protocol or a status that cannot be sent on:
// it must not reach the client, take a slot for good or end the handler with a panic.
func TestUpstreamAnswersWithoutFinalStatus(t *testing.T) {
	for _, status := range []string{"101 Switching Protocols", "000 Odd", "099 Odd", "199 Odd", "600 Odd", "999 Odd"} {
		adjust := func(o *Options) {
			if o.Upstream == "" {
				return
			}
			o.Prober = nil
			o.Dial = func(context.Context, string, string) (net.Conn, error) {
				upstream, host := net.Pipe()
				go func() {
					if request, err := http.ReadRequest(bufio.NewReader(upstream)); err == nil {
						_, _ = io.Copy(io.Discard, request.Body)
						_, _ = io.WriteString(upstream, "HTTP/1.1 "+status+"\r\nUpgrade: odd\r\nConnection: Upgrade\r\n\r\n")
						_, _ = io.Copy(io.Discard, upstream)
					}
				}()
				return host, nil
			}
		}
		inBubble(t, adjust, plainLink, oneUpstream, func(t *testing.T, m *mesh) {
			m.entry.noResolve = true
			got := m.send(t.Context(), http.MethodPost, "/book", "x")
			if outcomeOf(got) != classifier.OutcomeUnknown || got.Code != http.StatusBadGateway {
				t.Errorf("%s: status %d, outcome %s: %s", status, got.Code, outcomeOf(got), got.Body)
			}
			if running := m.hosts[0].Queue.Load().Running; running != 0 {
				t.Errorf("%s: %d slots are still taken", status, running)
			}
		})
	}
}
