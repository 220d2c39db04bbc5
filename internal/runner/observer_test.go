package runner

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/forwarder"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against a limit or a departure that an upstream states to a node that is not hosted and that has no effect,
// and against a departure that outlives the process which stated it, or is read after the end of that process.
func TestObserver(t *testing.T) {
	type result struct {
		Limits  []admitter.Limit
		Accepts []bool
	}
	var got result
	restarts := uint64(0)
	clock := timekeeper.Manual(timekeeper.Minute)
	o := &observer{
		setLimit: func(l admitter.Limit) { got.Limits = append(got.Limits, l) },
		restarts: func() uint64 { return restarts }, clock: clock.Clock(), logger: zap.NewNop(),
	}
	accepts := func() {
		_, ok := o.instance()
		got.Accepts = append(got.Accepts, ok)
	}
	limited := admitter.Limit{Stated: true, Rate: 12.5}
	accepts()
	o.ObserveLimit("", limited, clock.Clock().Now())
	clock.Advance(10)
	o.observeProbe(http.Header{forwarder.HeaderLimit: {"12.5"}}, 5)
	o.observeProbe(http.Header{forwarder.HeaderLimit: {"a lot"}}, 5)
	o.observeProbe(http.Header{}, 15) // may have been made before the limit began
	o.observeProbe(http.Header{forwarder.HeaderLimit: {"13"}}, 5)
	o.observeProbe(http.Header{}, 5)
	o.observeProbe(http.Header{forwarder.HeaderLeaving: {"1"}}, 5)
	accepts()
	clock.Advance(10)
	restarts++
	accepts()
	clock.Advance(10)
	o.ObserveLeaving("", clock.Clock().Now()-15) // a response of the process before
	accepts()
	o.ObserveLeaving("", clock.Clock().Now())
	accepts()
	want := result{[]admitter.Limit{limited, {Stated: true, Rate: 13}, {}}, []bool{true, false, true, true, false}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("effects differ (-want +got):\n%s", diff)
	}
}
