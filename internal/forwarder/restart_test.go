package forwarder

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against a second run after a restart of the host node where clocks differ: the process before may have run
// what this one does not know, whatever the clocks say. Its own incarnations, also a raised one, are not another's.
func TestRestartIsToldByIncarnation(t *testing.T) {
	for _, ahead := range []timekeeper.Millis{0, timekeeper.Minute} {
		host := NewHost(Options{
			Clock: timekeeper.Manual(timekeeper.Minute).Clock(), Name: "host", Incarnation: 7,
			CurrentIncarnation: func() uint64 { return 9 },
		})
		got := make(map[uint64]State)
		for _, incarnation := range []uint64{6, 7, 8, 9} {
			q := Query{ID: "id", Attempt: int(incarnation), Incarnation: incarnation, Deadline: timekeeper.Minute + ahead}
			got[incarnation] = host.find(timekeeper.Minute, &q, true).State
		}
		want := map[uint64]State{6: StateLost, 7: StateNotRun, 8: StateLost, 9: StateNotRun}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("clock ahead by %d ms: states differ (-want +got):\n%s", ahead, diff)
		}
	}
}
