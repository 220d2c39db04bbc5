package forwarder

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against a second run after a restart of the host node when clocks differ: the previous process may have run an
// attempt that the current one does not know. The current process is recognised by its own incarnations, including a
// raised one, and not by time.
func TestRestartDetectedByIncarnation(t *testing.T) {
	for _, ahead := range []timekeeper.Millis{0, timekeeper.Minute} {
		host := NewHost(Options{
			Clock: timekeeper.Manual(timekeeper.Minute).Clock(), Name: "host", Incarnation: 7,
			CurrentIncarnation: func() uint64 { return 9 },
		})
		got := make(map[uint64]State)
		for _, incarnation := range []uint64{6, 7, 8, 9} {
			q := Query{ID: "id", Attempt: int(incarnation), Incarnation: incarnation, Deadline: timekeeper.Minute + ahead}
			got[incarnation] = host.attemptStatus(timekeeper.Minute, &q, true).State
		}
		want := map[uint64]State{6: StateUnknown, 7: StateNotRun, 8: StateUnknown, 9: StateNotRun}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("clock ahead by %d ms: states differ (-want +got):\n%s", ahead, diff)
		}
	}
}
