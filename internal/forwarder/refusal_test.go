package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	refusalText = "HTTP/1.1 503 Service Unavailable\r\nJasmine-Outcome: notrun\r\n%sContent-Length: 0\r\n\r\n"
	answerText  = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nran"
)

// repeatingUpstream refuses the first request on a connection, or answers it and refuses the second. It responds to
// each later one with a copy of that refusal, and then with the answer of a run.
type repeatingUpstream struct {
	answerFirst bool
	echo        bool // refusals have the id of the request that they refuse
}

func (u *repeatingUpstream) dial(context.Context, string, string) (net.Conn, error) {
	upstream, host := net.Pipe()
	go u.serve(upstream)
	return host, nil
}

func (u *repeatingUpstream) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	refusal := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := ""
		if u.echo {
			id = headerID + ": " + request.Header.Get(headerID) + "\r\n"
		}
		switch {
		case u.answerFirst:
			u.answerFirst = false
			_, err = io.WriteString(conn, answerText)
		case refusal == "":
			refusal = fmt.Sprintf(refusalText, id)
			_, err = io.WriteString(conn, refusal)
		default:
			_, err = io.WriteString(conn, refusal)
			<-time.After(50 * time.Millisecond)
			_, _ = io.WriteString(conn, answerText)
		}
		if err != nil {
			return
		}
	}
}

// Guards against a request that counts as not run although its upstream runs it, since a faulty upstream wrote an
// earlier refusal once more on a kept connection: without an id, or with the id of a request that is sent again.
func TestRepeatedRefusal(t *testing.T) {
	const notRun, unknown, answered = classifier.OutcomeNotRun, classifier.OutcomeUnknown, classifier.OutcomeAnswered
	for name, c := range map[string]struct {
		upstream repeatingUpstream
		sameID   bool
		want     []classifier.Outcome
	}{
		"copy without an id": {
			repeatingUpstream{}, false, []classifier.Outcome{notRun, unknown},
		},
		"copy for the same id": {
			repeatingUpstream{echo: true}, true, []classifier.Outcome{notRun, unknown},
		},
		"after a copy the connection is not used again": {
			repeatingUpstream{}, false, []classifier.Outcome{notRun, unknown, notRun},
		},
		"refusal on a kept connection": {
			repeatingUpstream{answerFirst: true, echo: true}, false, []classifier.Outcome{answered, notRun},
		},
		"refusal without an id on a kept connection": {
			repeatingUpstream{answerFirst: true}, false, []classifier.Outcome{answered, unknown},
		},
	} {
		u := c.upstream
		adjust := func(o *Options) {
			if o.Upstream != "" {
				o.Dial, o.Prober = u.dial, nil
			}
		}
		inBubble(t, adjust, plainLink, oneUpstream, func(t *testing.T, m *mesh) {
			id := newID(timekeeper.System().Now())
			got := make([]classifier.Outcome, 0, len(c.want))
			for range c.want {
				headers := []string{}
				if c.sameID {
					headers = []string{headerID, id}
				}
				<-time.After(time.Second) // the entry node avoids a node that refused for a moment
				got = append(got, outcomeOf(m.send(t.Context(), http.MethodPost, "/book", "x", headers...)))
			}
			<-time.After(time.Second) // lets the upstream end its last run
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("%s: outcomes differ (-want +got):\n%s", name, diff)
			}
		})
	}
}

// Guards against a refusal of a host node that counts for another attempt than its own: without the attempt in it, it
// may be an earlier one that was written once more on a kept connection.
func TestRefusalOfAnotherAttempt(t *testing.T) {
	for first, want := range map[string]classifier.Outcome{
		"answer": classifier.OutcomeUnknown, "refusal": classifier.OutcomeNotRun,
	} {
		requests := 0
		respond := func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			if requests++; requests == 1 && first == "answer" {
				markAnswered(w, r, "")
				return
			}
			writeFailure(w, classifier.Refuse(classifier.CodeDraining, "faulty", "draining"), 0)
		}
		inBubble(t, nil, plainLink, []faker.UpstreamOptions{{}}, func(t *testing.T, m *mesh) {
			replaceHost(m, respond)
			got := m.send(t.Context(), http.MethodPost, "/book", "x")
			if first == "answer" {
				got = m.send(t.Context(), http.MethodPost, "/book", "x")
			}
			if outcomeOf(got) != want {
				t.Errorf("refusal after an %s: outcome %s, not %s", first, outcomeOf(got), want)
			}
		})
	}
}

// Guards against a refusal of a draining host node on a kept connection that does not count, so that the request is not
// sent elsewhere.
func TestDrainingHostNamesTheAttempt(t *testing.T) {
	gate := &switchedGate{}
	adjust := func(o *Options) {
		if o.Upstream != "" {
			o.Gate = gate
		}
	}
	inBubble(t, adjust, plainLink, oneUpstream, func(t *testing.T, m *mesh) {
		if got := m.send(t.Context(), http.MethodPost, "/book", "x"); outcomeOf(got) != classifier.OutcomeAnswered {
			t.Fatalf("outcome %s", outcomeOf(got))
		}
		gate.closed.Store(true)
		m.entry.noResolve = true
		if got := m.send(t.Context(), http.MethodPost, "/book", "x"); outcomeOf(got) != classifier.OutcomeNotRun {
			t.Errorf("outcome %s: %s", outcomeOf(got), got.Body)
		}
	})
}

// switchedGate is a gate without a count, which a test closes.
type switchedGate struct{ closed atomic.Bool }

func (s *switchedGate) Begin() bool      { return !s.closed.Load() }
func (s *switchedGate) BeginBackground() {}
func (s *switchedGate) End()             {}

// Guards against a memory of refused ids that grows without a bound, or that counts an id as refused after it has
// expired.
func TestRefusedIDsAreBounded(t *testing.T) {
	var r refusals
	if r.add(0, "a", 10) || !r.add(9, "a", 10) || r.add(10, "a", 20) {
		t.Error("an id is known before it was refused, or after it expired, or not in between")
	}
	for i := range 3 * maxRefusals {
		r.add(timekeeper.Millis(i), fmt.Sprint(i), timekeeper.Millis(i+maxRefusals/2))
		if len(r.expires) > maxRefusals {
			t.Fatalf("%d ids after %d refusals", len(r.expires), i)
		}
	}
	for i := range 3 * maxRefusals {
		r.add(0, fmt.Sprint(i), 1<<40) // none expires
		if len(r.expires) > maxRefusals {
			t.Fatalf("%d ids, of which none expires", len(r.expires))
		}
	}
}
