package runner

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against a node that lost the race to write the first seed object and then waits a minute before it finds
// other nodes.
func TestLoneNodePollsAgainSoon(t *testing.T) {
	got := []timekeeper.Millis{
		pauseAfter(nil, true), pauseAfter(errors.New("platform is down"), false), pauseAfter(nil, false),
	}
	want := []timekeeper.Millis{startPeriod, startPeriod, seedPeriod}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Fatalf("pauses differ (-want +got):\n%s", diff)
	}
}
