package forwarder

import (
	"net/http"
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
)

// Guards against "not run" for an id from a caller that ran before, when a node that is draining or has no
// configuration rejects the id before an attempt.
func TestIDRejectedBeforeAttemptMayHaveRun(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		inBubble(t, nil, plainLink, oneUpstream, func(t *testing.T, m *mesh) {
			m.entry.keepNotRun = disabled
			id := newID(m.entry.Clock.Now())
			got := m.send(t.Context(), http.MethodPost, "/book", "", headerID, id)
			if outcomeOf(got) != classifier.OutcomeAnswered {
				t.Fatalf("first presentation: %s", outcomeOf(got))
			}
			m.entry.Views = noViews{}
			want := classifier.OutcomeUnknown
			if disabled {
				want = classifier.OutcomeNotRun
			}
			if got := m.send(t.Context(), http.MethodPost, "/book", "", headerID, id); outcomeOf(got) != want {
				t.Errorf("second presentation, keepNotRun %v: %s", disabled, outcomeOf(got))
			}
			if got := m.send(t.Context(), http.MethodPost, "/book", ""); outcomeOf(got) != classifier.OutcomeNotRun {
				t.Errorf("without an id: %s", outcomeOf(got))
			}
		})
	}
}

// noViews is the configuration source of a node without a configuration.
type noViews struct{}

func (noViews) Active() *compiler.View { return nil }
func (noViews) Ready() bool            { return false }
