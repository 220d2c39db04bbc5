package forwarder

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/comparer"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/router"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// keyedView is a configuration with two client accounts, and a call that needs no key.
func keyedView() *compiler.View {
	view := testView()
	view.Clients = []compiler.Client{
		{Name: "north", Keys: []compiler.KeyDigest{compiler.DigestOfKey("n-1"), compiler.DigestOfKey("n-2")}},
		{Name: "south", Keys: []compiler.KeyDigest{compiler.DigestOfKey("s-1")}, Order: 1},
	}
	for i := range view.Accounts[0].Calls {
		if call := &view.Accounts[0].Calls[i]; call.Name == "peek" {
			call.Public, call.Method = true, http.MethodGet
		}
	}
	return view
}

// Guards against a request that runs without a valid key or under another account's name, against a key that reaches an
// upstream, and against keys that are accepted while they may have been withdrawn.
func TestKeys(t *testing.T) {
	var table strings.Builder
	fresh := true
	adjust := func(o *Options) {
		o.Views, o.KeysFresh = fixedViews{keyedView()}, func() bool { return fresh }
	}
	var seen http.Header
	upstream := faker.UpstreamOptions{Answer: func(_ http.ResponseWriter, r *http.Request) { seen = r.Header.Clone() }}
	inBubble(t, adjust, faker.LinkOptions{}, []faker.UpstreamOptions{upstream}, func(t *testing.T, m *mesh) {
		for _, c := range []struct {
			name, method, path string
			stale              bool
			headers            []string
		}{
			{"key of north", "GET", "/check", false, []string{headerKey, "n-1"}},
			{"second key of north", "POST", "/book", false, []string{headerKey, "n-2"}},
			{"key of south", "GET", "/check", false, []string{headerKey, "s-1"}},
			{"forged account", "GET", "/check", false, []string{headerKey, "s-1", HeaderClient, "north"}},
			{"unknown key", "POST", "/book", false, []string{headerKey, "n-3"}},
			{"no key", "GET", "/check", false, nil},
			{"empty key", "GET", "/check", false, []string{headerKey, ""}},
			{"odd bytes", "GET", "/check", false, []string{headerKey, "n-1\x01\xff"}},
			{"name of an account", "GET", "/check", false, []string{headerKey, "north"}},
			{"public call", "GET", "/peek", false, nil},
			{"public call with a key", "GET", "/peek", false, []string{headerKey, "n-1"}},
			{"stale", "GET", "/check", true, []string{headerKey, "n-1"}},
			{"stale, unknown key", "GET", "/check", true, []string{headerKey, "n-3"}},
			{"stale, public call", "GET", "/peek", true, nil},
		} {
			fresh, seen = !c.stale, nil
			r := m.send(t.Context(), c.method, c.path, "", c.headers...)
			fmt.Fprintf(&table, "%-22s %d %s code %s", c.name, r.Code, outcomeOf(r), r.Header().Get(HeaderCode))
			if seen != nil {
				fmt.Fprintf(&table, ", runs for %q", seen.Get(HeaderClient))
			}
			table.WriteString("\n")
			for name, values := range seen {
				if slices.ContainsFunc(values, isKey) {
					t.Errorf("%s: header %s has the key", c.name, name)
				}
			}
		}
	})
	comparer.Golden(t, "keys.golden", table.String())
}

func isKey(value string) bool {
	return strings.HasPrefix(value, "n-") || strings.HasPrefix(value, "s-")
}

// Guards against an account whose requests go before those of an account with a lower order.
func TestOrderOfAccounts(t *testing.T) {
	first, second := compiler.Client{}, compiler.Client{Order: 1}
	orders := make([]int, 0, 6)
	for _, client := range []*compiler.Client{&first, &second} {
		for rank := range 3 {
			orders = append(orders, client.OrderOf(&compiler.Rank{Order: rank}))
		}
	}
	if !slices.IsSorted(orders) || orders[2] >= orders[3] {
		t.Errorf("orders are %v", orders)
	}
}

// Guards against callers with as much time as the timeout of their call who are taken for upstreams that make a call
// within a run: their requests would have no target and go before all others.
func TestRequestWithKeyIsNoNestedCall(t *testing.T) {
	clock := timekeeper.System()
	e := &Entry{Options: Options{Clock: clock}}
	for _, c := range []struct {
		client *compiler.Client
		want   job
	}{
		{nil, job{Depth: 1, Nested: true}},
		{&compiler.Client{Name: "north"}, job{Depth: 1, Target: 300, Order: 2}},
	} {
		x := &call{client: c.client, job: job{Target: 300, Order: 2}}
		x.route = router.Route{Call: &compiler.Call{Timeout: 1200}}
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/plates", nil)
		r.Header.Set(headerDeadline, "1200")
		if err := e.applyLimits(x, r, clock.Now()); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(c.want, x.job); diff != "" {
			t.Errorf("client %v: job differs (-want +got):\n%s", c.client, diff)
		}
	}
}

// rolloutRecorder counts the failed calls of runs.
type rolloutRecorder struct {
	Rollout
	failed int
}

func (r *rolloutRecorder) NestedFailed() { r.failed++ }

// Guards against runs that count against the version of their upstream because a call of theirs found no upstream, and
// against failures of other callers and bad requests that explain such runs.
func TestFailedCallsOfRuns(t *testing.T) {
	for _, c := range []struct {
		nested bool
		code   classifier.Code
		want   int
	}{
		{true, classifier.CodeNoUpstream, 1},
		{true, classifier.CodeOverload, 1},
		{true, classifier.CodeBadRequest, 0},
		{false, classifier.CodeNoUpstream, 0},
	} {
		recorder := &rolloutRecorder{}
		e := &Entry{Options: Options{Clock: timekeeper.System(), Logger: zap.NewNop(), Rollout: recorder}}
		x := &call{job: job{Nested: c.nested}, route: router.Route{Call: &compiler.Call{}}}
		e.reportFailure(httptest.NewRecorder(), x, classifier.Refuse(c.code, "a", "no"))
		if recorder.failed != c.want {
			t.Errorf("nested %v, code %v: %d failed calls", c.nested, c.code, recorder.failed)
		}
	}
}
