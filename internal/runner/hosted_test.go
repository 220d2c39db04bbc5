package runner

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against a planned stop that the platform kills because its steps together exceed the time limit, and against a
// stop that aborts requests before the last sixth of the time limit, however soon callers noticed the stop.
func TestPlannedStopFitsTimeLimit(t *testing.T) {
	type stop struct{ Limit, Noticed timekeeper.Millis }
	got := make(map[stop]timekeeper.Millis)
	for _, limit := range []timekeeper.Millis{2000, 6000, 10_000, 20_000} {
		for _, noticed := range []timekeeper.Millis{0, 1150, noticeTimeout + noticeMargin} {
			wait := graceAfter(limit, noticed)
			got[stop{limit, noticed}] = wait
			if limit < 6000 {
				continue
			}
			if total := noticed + wait + 3*hostedStopTimeout; total >= limit {
				t.Errorf("the stop takes up to %d ms of %d ms", total, limit)
			}
			if end := noticed + wait; end <= limit*5/6 {
				t.Errorf("limit %d, noticed after %d: requests are aborted after %d ms", limit, noticed, end)
			}
		}
	}
	want := map[stop]timekeeper.Millis{
		{2000, 0}: 1200, {2000, 1150}: 500, {2000, 2650}: 500,
		{6000, 0}: 5050, {6000, 1150}: 3900, {6000, 2650}: 2400,
		{10_000, 0}: 8384, {10_000, 1150}: 7234, {10_000, 2650}: 5734,
		{20_000, 0}: 16_717, {20_000, 1150}: 15_567, {20_000, 2650}: 14_067,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("waits differ (-want +got):\n%s", diff)
	}
}
