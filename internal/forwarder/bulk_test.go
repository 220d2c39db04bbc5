package forwarder

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/bubbler"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against long responses that fill a narrow link, so that urgent short ones and the messages of the node are
// late; against short responses that wait for them; and against requests that run although their response cannot be
// sent in time.
func TestLongResponsesOnNarrowLink(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		const length = 90_000 // 96 ms at three quarters of 10 Mbit/s
		clock := timekeeper.System()
		p := NewBulkPacer(10)
		x := &hostAttempt{job: &job{Call: "photos", Target: 400}, deadline: clock.Now() + 5000}
		other := &hostAttempt{job: &job{Call: "plates", Target: 400}, deadline: clock.Now() + 5000}
		p.observe("photos", http.MethodGet, length)
		p.observe("plates", http.MethodGet, 400)
		started := clock.Now()
		send := func(length int64) {
			turn := p.reserve(clock, http.MethodGet, length)
			if _, err := turn.writer(t.Context(), io.Discard).Write(make([]byte, length)); err != nil {
				t.Error(err)
			}
		}
		refused := 0
		for range 10 {
			done, err := p.admit(clock.Now(), x)
			if err != nil {
				if classifier.CodeOf(err) != classifier.CodeOverload || retryAfter(failureOf(err), clock.Now()) <= 0 {
					t.Fatal(err)
				}
				refused++
				continue
			}
			done()
			go send(length)
			pause(t.Context(), 1)
		}
		if _, err := p.admit(clock.Now(), other); err != nil {
			t.Errorf("a call with short responses is refused: %v", err)
		}
		send(400)
		if waited := clock.Now() - started; waited > 100 {
			t.Errorf("a short response waited for %d ms", waited)
		}
		if refused < 4 || refused > 8 {
			t.Errorf("%d of 10 requests are refused", refused)
		}
		send(length)
		if sent := clock.Now() - started; sent < timekeeper.Millis(10-refused-1)*90 {
			t.Errorf("%d long responses took %d ms", 10-refused, sent)
		}
	})
}

// Guards against a burst of requests that are all admitted because none of them has a response yet.
func TestPromisedResponses(t *testing.T) {
	p := NewBulkPacer(10)
	x := &hostAttempt{job: &job{Call: "photos", Target: 400}, deadline: 5000}
	p.observe("photos", http.MethodGet, 90_000)
	var ends []func()
	for range 10 {
		if done, err := p.admit(0, x); err == nil {
			ends = append(ends, done)
		}
	}
	if len(ends) != 3 {
		t.Errorf("%d requests are admitted at once, their responses take 96 ms each and may wait for 200 ms", len(ends))
	}
	for _, done := range ends {
		done()
		done()
	}
	if _, err := p.admit(0, x); err != nil {
		t.Errorf("a request after all others failed: %v", err)
	}
}

// lineWriter records the times at which the pieces of responses are written.
type lineWriter struct {
	clock timekeeper.Clock
	times *[]timekeeper.Millis
}

// Write implements io.Writer.
func (w lineWriter) Write(content []byte) (int, error) {
	*w.times = append(*w.times, w.clock.Now())
	return len(content), nil
}

// Guards against a long response that goes out in one piece, behind which short ones wait, and against responses of an
// entry node and of a host node that fill the link together.
func TestLongResponsesGoOutInPieces(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		clock := timekeeper.System()
		p := NewBulkPacer(10)
		var toCaller, toNode []timekeeper.Millis
		started := clock.Now()
		first := p.reserve(clock, http.MethodGet, 90_000)
		second := p.reserve(clock, http.MethodGet, -1) // its length is not known
		finished := make(chan struct{})
		go func() {
			defer close(finished)
			_, _ = second.writer(t.Context(), lineWriter{clock, &toNode}).Write(make([]byte, 90_000))
		}()
		_, _ = first.writer(t.Context(), lineWriter{clock, &toCaller}).Write(make([]byte, 90_000))
		<-finished
		if len(toCaller) != 6 || len(toNode) != 6 {
			t.Fatalf("%d and %d pieces", len(toCaller), len(toNode))
		}
		for i, at := range toCaller[2:] { // before, the link uses what it saved up
			if between := at - toCaller[i+1]; between < 14 || between > 18 {
				t.Errorf("%d ms between pieces of 16 KiB, at three quarters of the link it takes 17.5 ms", between)
			}
		}
		if took := clock.Now() - started; took < 150 {
			t.Errorf("both took %d ms on a link that needs 192 ms, less what it saved up", took)
		}
		if head := p.reserve(clock, http.MethodHead, 90_000); head != nil {
			t.Error("the response to HEAD has a turn")
		}
		p.observe("photos", http.MethodHead, 1<<40)
		if p.lengths["photos"] != 0 {
			t.Errorf("after a response to HEAD, %v bytes are expected", p.lengths["photos"])
		}
	})
}

// Guards against a bound where the link is not known or wide.
func TestWideLinks(t *testing.T) {
	var unknown *BulkPacer
	unknown.observe("photos", http.MethodGet, 1<<20)
	wide := NewBulkPacer(1000)
	for _, p := range []*BulkPacer{unknown, wide, NewBulkPacer(0)} {
		for now := range timekeeper.Millis(100) {
			x := &hostAttempt{job: &job{Call: "photos", Target: 400}, deadline: now + 5000}
			done, err := p.admit(now, x)
			if err != nil {
				t.Fatal(err)
			}
			done()
			p.observe("photos", http.MethodGet, 90_000)
			manual := timekeeper.Manual(now)
			turn := p.reserve(manual.Clock(), http.MethodGet, 90_000)
			if _, err = turn.writer(t.Context(), io.Discard).Write(make([]byte, 90_000)); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// Guards against long responses that hold slots of the upstream while they wait for the link, and against ones that are
// not whole after it.
func TestWaitingResponsesHoldNoSlots(t *testing.T) {
	const length = 90_000 // 0.96 s at three quarters of 1 Mbit/s
	upstream := faker.UpstreamOptions{Answer: func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Has("length") {
			w.Header().Set("Content-Length", strconv.Itoa(length))
		}
		_, _ = w.Write(bytes.Repeat([]byte("0123456789"), length/10))
	}}
	adjust := func(o *Options) {
		if o.Queue != nil {
			o.Bulk = NewBulkPacer(1)
		}
	}
	inBubble(t, adjust, plainLink, []faker.UpstreamOptions{upstream}, func(t *testing.T, m *mesh) {
		responses := make(chan *httptest.ResponseRecorder, 2)
		for _, target := range []string{"/check?length", "/check"} {
			go func() { responses <- m.send(t.Context(), http.MethodGet, target, "") }()
		}
		<-time.After(500 * time.Millisecond)
		if load := m.hosts[0].Queue.Load(); load.Running != 0 || len(responses) != 0 {
			t.Errorf("%d slots are in use while %d responses wait", load.Running, 2-len(responses))
		}
		for range 2 {
			r := <-responses
			if r.Code != http.StatusOK || r.Body.Len() != length || !bytes.HasSuffix(r.Body.Bytes(), []byte("6789")) {
				t.Errorf("status %d with %d bytes", r.Code, r.Body.Len())
			}
		}
	})
}

// Guards against a response that states a length which it does not have: the link counted as taken until all of it
// could have been sent, and the call as one with responses of that length, so that its requests were refused.
func TestFalseLengthOfResponse(t *testing.T) {
	for name, repeated := range map[string]string{"breaks off": "", "endless": strings.Repeat("0123456789", 10_000)} {
		upstream := faker.UpstreamOptions{Answer: func(w http.ResponseWriter, r *http.Request) {
			if !r.URL.Query().Has("false") {
				_, _ = w.Write(make([]byte, 90_000))
				return
			}
			w.Header().Set("Content-Length", strconv.FormatInt(1<<40, 10))
			_, err := w.Write(make([]byte, 100_000))
			for err == nil && repeated != "" {
				_, err = io.WriteString(w, repeated)
			}
			panic(http.ErrAbortHandler)
		}}
		adjust := func(o *Options) { o.Bulk = NewBulkPacer(1000) }
		inBubble(t, adjust, plainLink, []faker.UpstreamOptions{upstream}, func(t *testing.T, m *mesh) {
			for range 3 {
				sendAborting(t, m, http.MethodGet, "/check?false")
			}
			<-time.After(2 * time.Second)
			started := time.Now()
			response := m.send(t.Context(), http.MethodGet, "/check", "")
			if took := time.Since(started); response.Code != http.StatusOK || took > 100*time.Millisecond {
				t.Errorf("%s: the next request got status %d after %v", name, response.Code, took)
			}
		})
	}
}
