package timekeeper

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a manual clock that drifts from the durations by which it was advanced.
func TestManualClockAdvances(t *testing.T) {
	manual := Manual(5 * Second)
	clock := manual.Clock()
	manual.Advance(250)
	if diff := cmp.Diff(Millis(5250), clock.Now()); diff != "" {
		t.Fatalf("time differs (-want +got):\n%s", diff)
	}
}

// Guards against a unit error between milliseconds and standard durations.
func TestMillisConvertsBothWays(t *testing.T) {
	if diff := cmp.Diff(1500*time.Millisecond, Millis(1500).Duration()); diff != "" {
		t.Fatalf("duration differs (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(Millis(1500), FromDuration(1500*time.Millisecond)); diff != "" {
		t.Fatalf("millis differ (-want +got):\n%s", diff)
	}
}
