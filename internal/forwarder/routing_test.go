package forwarder

import (
	"net/http"
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
)

// withMaxAttempts returns a function that limits the upstreams to which each call may be sent.
func withMaxAttempts(attempts int) func(m *mesh) {
	return func(m *mesh) {
		view := testView()
		calls := view.Accounts[0].Calls
		for i := range calls {
			calls[i].Attempts = attempts
		}
		m.entry.Views = fixedViews{view}
	}
}

// Guards against a request that reaches more upstreams than its call allows.
func TestCallAttemptsAreLimited(t *testing.T) {
	twoUpstreams := []faker.UpstreamOptions{{}, {}}
	for attempts, want := range map[int]int{1: 1, 2: 2} {
		inBubble(t, nil, plainLink, twoUpstreams, func(t *testing.T, m *mesh) {
			withMaxAttempts(attempts)(m)
			reached := 0
			broken := func(w http.ResponseWriter, r *http.Request) {
				reached++
				markAnswered(w, r, "another request")
				w.WriteHeader(http.StatusOK)
			}
			replaceHost(m, broken)
			for i := 1; i < len(m.members); i++ {
				m.members[i].Peer = "faulty:1"
				m.members[i].Slots = 1000
			}
			m.send(t.Context(), http.MethodGet, "/check", "")
			if reached != want {
				t.Errorf("limit %d: %d upstreams reached", attempts, reached)
			}
		})
	}
}

// Guards against a request that is accepted by a node which took over the address of the intended node.
func TestAddressTakenOverByAnotherNode(t *testing.T) {
	inBubble(t, nil, plainLink, oneUpstream, func(t *testing.T, m *mesh) {
		m.members[0].Name = "gone"
		got := m.send(t.Context(), http.MethodPost, "/book", "")
		if code := got.Header().Get(HeaderCode); code != "225" {
			t.Errorf("code %s", code)
		}
		if runs, _, _ := m.upstreams[0].Totals(); runs != 0 {
			t.Errorf("%d requests reached the upstream", runs)
		}
	})
}

// Guards against a traffic split that does not follow its weights, or that sends requests to a part without weight.
func TestSplitFollowsWeights(t *testing.T) {
	parts := []compiler.Part{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}
	count := make(map[string]int)
	const draws = 20000
	for range draws {
		count[drawService(parts)]++
	}
	if share := float64(count["b"]) / draws; share < 0.08 || share > 0.12 || count["c"] > 0 {
		t.Errorf("shares are %v", count)
	}
}
