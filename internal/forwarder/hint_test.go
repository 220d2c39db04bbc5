package forwarder

import (
	"net/http"
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against callers that use up their few returns within a moment of overload, against returns that come all at
// once, and against hints on failures that may have run or that would come again.
func TestCallersComeBackSpread(t *testing.T) {
	const now = timekeeper.Millis(1000)
	busy := func(wait timekeeper.Millis) *classifier.Error {
		failure := classifier.Refuse(classifier.CodeOverload, "call", "busy")
		failure.Cause = &admitter.RetryError{After: wait}
		return failure
	}
	for name, c := range map[string]struct {
		call        call
		failure     *classifier.Error
		least, most timekeeper.Millis
	}{
		"new, short wait":   {call{patience: now + 3000, job: job{Target: 400}}, busy(80), 80, 80},
		"new, tiny wait":    {call{patience: now + 3000, job: job{Target: 400}}, busy(1), 50, 50},
		"new, long wait":    {call{patience: now + 3000, job: job{Target: 400}}, busy(200), 750, 1000},
		"seen before":       {call{patience: now + 3000, age: 300, job: job{Target: 400}}, busy(80), 750, 1000},
		"late":              {call{patience: now + 1200, job: job{Target: 400, Late: true}}, busy(80), 300, 400},
		"no upstream":       {call{patience: now + 3000}, classifier.Refuse(classifier.CodeNoUpstream, "s", ""), 750, 1000},
		"no time left":      {call{patience: now}, busy(5), 1, 1},
		"within a run":      {call{patience: now + 3000, nested: true}, busy(7), 7, 7},
		"would fail again":  {call{patience: now + 3000}, classifier.Refuse(classifier.CodeIsolated, "s", "x"), 0, 0},
		"outcome not known": {call{patience: now + 3000}, classifier.Unknown(classifier.CodeOverload, "s", "x"), 0, 0},
	} {
		seen := make(map[timekeeper.Millis]bool)
		for range 200 {
			wait := retryAfter(c.call.advise(now, c.failure), now)
			seen[wait] = true
			if wait < c.least || wait > c.most {
				t.Errorf("%s: %d ms, want %d to %d", name, wait, c.least, c.most)
				break
			}
		}
		if c.most > c.least && len(seen) < 10 {
			t.Errorf("%s: only %d different waits", name, len(seen))
		}
	}
}

// Guards against a node without a configuration, or one that stops, whose callers come back at once.
func TestVisitorsAreToldWhenToComeBack(t *testing.T) {
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	r.Header[headerDeadline] = []string{"3000"}
	failure := classifier.Refuse(classifier.CodeNotReady, "node", "no configuration")
	if wait := retryAfter(visitor(r, 5).advise(5, failure), 5); wait < 750 || wait > 1000 {
		t.Errorf("%d ms", wait)
	}
}
