package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// endlessAnswers are bytes that an upstream sends until its connection ends: a start, then the same text again and
// again. The head is bounded by maxHead, a body by the deadline.
var endlessAnswers = map[string]struct {
	start, repeated string
	inBody          bool
}{
	"no protocol":        {"", "\x00\xff not an answer ", false},
	"status line":        {"HTTP/1.1 200 ", "OK", false},
	"header line":        {"HTTP/1.1 200 OK\r\nX-Long: ", "x", false},
	"header lines":       {"HTTP/1.1 200 OK\r\n", "X-More: x\r\n", false},
	"continuation lines": {"HTTP/1.1 200 OK\r\nX-Long: x\r\n", " more\r\n", false},
	"interim responses":  {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", false},
	"chunk size":         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0", true},
	"chunk extension":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", "x", true},
	"chunks":             {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n", true},
	"trailer":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Trailer: ", "x", true},
	"trailers":           {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: x\r\n", true},
	"body by close":      {"HTTP/1.1 200 OK\r\n\r\n", "hello", true},
}

// endlessUpstream sends an endless answer on each connection until a write fails, in blocks with a pause between them.
type endlessUpstream struct {
	start, block string
	pause        time.Duration
	sent         atomic.Int64
	open         atomic.Int64
}

func (u *endlessUpstream) dial(context.Context, string, string) (net.Conn, error) {
	upstream, host := net.Pipe()
	u.open.Add(1)
	go func() {
		defer u.open.Add(-1)
		go func() { _, _ = io.Copy(io.Discard, upstream) }()
		text := u.start
		for {
			n, err := upstream.Write([]byte(text))
			u.sent.Add(int64(n))
			if err != nil {
				return
			}
			text = u.block
			if u.pause > 0 {
				<-time.After(u.pause)
			}
		}
	}()
	return host, nil
}

// Guards against bytes without end from an upstream, in the head or the body of a response, that take the node's memory
// or keep a request beyond its deadline, or that pass for a complete answer.
func TestEndlessAnswers(t *testing.T) {
	const (
		maxHead = 128 << 10 // the transport's limit of 64 KiB and its buffers
		timeout = 2100 * time.Millisecond
	)
	for name, c := range endlessAnswers {
		for speed, pause := range map[string]time.Duration{"fast": time.Millisecond, "trickle": 100 * time.Millisecond} {
			size := 8 << 10
			if pause > time.Millisecond {
				size = 16
			}
			u := &endlessUpstream{start: c.start, pause: pause}
			u.block = strings.Repeat(c.repeated, max(size/len(c.repeated), 1))
			adjust := func(o *Options) {
				if o.Upstream != "" {
					o.Dial, o.Prober = u.dial, nil
				}
			}
			inBubble(t, adjust, plainLink, oneUpstream, func(t *testing.T, m *mesh) {
				started := time.Now()
				outcome, aborted := sendAborting(t, m, http.MethodPost, "/book")
				if took := time.Since(started); took > timeout {
					t.Errorf("%s, %s: ended after %v", name, speed, took)
				}
				if outcome == classifier.OutcomeNotRun || outcome == classifier.OutcomeAnswered && !aborted {
					t.Errorf("%s, %s: outcome %s, aborted %v", name, speed, outcome, aborted)
				}
				<-time.After(2 * timekeeper.Second.Duration())
				synctest.Wait()
				if open := u.open.Load(); open != 0 {
					t.Errorf("%s, %s: %d connections to the upstream are still open", name, speed, open)
				}
				if sent := u.sent.Load(); sent == 0 || !c.inBody && sent > maxHead {
					t.Errorf("%s, %s: read %d bytes of a head", name, speed, sent)
				}
				if running := m.hosts[0].Queue.Load().Running; running != 0 {
					t.Errorf("%s, %s: %d slots are still taken", name, speed, running)
				}
			})
		}
	}
}

// sendAborting sends a request, and reports its outcome and whether its response was aborted.
func sendAborting(t *testing.T, m *mesh, method, path string) (outcome classifier.Outcome, aborted bool) {
	t.Helper()
	recorder := &countingWriter{header: make(http.Header)}
	defer func() {
		if found := recover(); found != nil {
			if fmt.Sprint(found) != http.ErrAbortHandler.Error() {
				panic(found)
			}
			outcome, aborted = classifier.Outcome(recorder.header.Get(HeaderOutcome)), true
		}
	}()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://wick.example"+path, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	m.entry.ServeHTTP(recorder, request)
	return classifier.Outcome(recorder.header.Get(HeaderOutcome)), false
}

// countingWriter discards a response, whose length may have no bound.
type countingWriter struct {
	header http.Header
	bytes  int
}

func (c *countingWriter) Header() http.Header { return c.header }
func (c *countingWriter) WriteHeader(int)     {}
func (c *countingWriter) Write(content []byte) (int, error) {
	c.bytes += len(content)
	return len(content), nil
}
