package forwarder

import (
	"net/http"
	"testing"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against a run that is given up because its host node is slow to respond to polls, as behind a full link: the
// answer must be delivered when it arrives, and the request must run once.
func TestRunOnSlowHostIsAwaited(t *testing.T) {
	link := faker.LinkOptions{Delay: 350} // a poll takes 700 ms
	for method, path := range map[string]string{http.MethodGet: "/check", http.MethodPost: "/book"} {
		inBubble(t, nil, link, []faker.UpstreamOptions{withServiceTime(900)}, func(t *testing.T, m *mesh) {
			got := m.send(t.Context(), method, path, "")
			if id := got.Header().Get(headerID); outcomeOf(got) != classifier.OutcomeAnswered || m.runs(id) != 1 {
				t.Errorf("%s: %s after %d runs: %s", method, outcomeOf(got), m.runs(id), got.Body)
			}
			<-time.After(time.Second)
		})
	}
}

// Guards against the abort of an exchange without evidence that the run ended: a host node that does not respond is
// given up after silenceTimeout, and only if another attempt can follow.
func TestAbortNeedsEvidence(t *testing.T) {
	type poll struct {
		after timekeeper.Millis // since the first poll
		state State             // empty for no response
	}
	for name, c := range map[string]struct {
		retryable bool
		polls     []poll
		aborted   bool // by the last poll, and by no earlier one
	}{
		"silent below the timeout":   {true, []poll{{500, ""}, {1000, ""}, {1999, ""}}, false},
		"silent for the timeout":     {true, []poll{{500, ""}, {2000, ""}}, true},
		"silent, no further attempt": {false, []poll{{500, ""}, {2000, ""}, {60_000, ""}}, false},
		"slow but responding": {
			true, []poll{{1500, StateRunning}, {3000, ""}, {3400, StateQueued}, {5000, ""}}, false,
		},
		"answered twice":          {false, []poll{{10, StateDone}, {260, StateDone}}, true},
		"unknown after a silence": {false, []poll{{500, ""}, {750, StateAbsent}}, true},
		"running in between":      {false, []poll{{10, StateDone}, {260, StateRunning}, {510, StateDone}}, false},
	} {
		const begin = timekeeper.Millis(1_000_000)
		exchange := &watchedExchange{retryable: c.retryable, heard: begin}
		for i, p := range c.polls {
			want := c.aborted && i == len(c.polls)-1
			if got := exchange.mustAbort(begin+p.after, p.state); got != want {
				t.Errorf("%s: poll %d: aborted is %v", name, i, got)
			}
		}
	}
}
