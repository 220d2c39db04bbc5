package main

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// Result is the result of one request of the load generator.
type Result struct {
	Target      *Target
	ID          string
	Outcome     classifier.Outcome
	Code        string
	Total       int64 // time until the response was complete, in microseconds
	Added       int64 // Total without the time on the upstream, in microseconds
	BodyMatches bool  // whether the body contains the id of the request
	Retries     int   // attempts of the entry node after the first
}

// Tally collects the results of requests.
type Tally struct {
	mutex   sync.Mutex
	results []Result
	dropped int // requests that the load generator did not send
}

// drop counts a request that the load generator did not send.
func (t *Tally) drop() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.dropped++
}

// add appends one result.
func (t *Tally) add(result Result) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.results = append(t.results, result)
}

// Summary holds the totals of a group of results. MixedUp counts answered requests whose body belongs to another one.
type Summary struct {
	Sent, Answered, InTime, NotRun, Unknown, MixedUp, Retries int

	Added *hdrhistogram.Histogram // latency of answered requests without the time on the upstream, in microseconds
	Codes map[string]int          // unanswered requests by result code
}

// summarize returns the totals of the results whose target matches.
func (t *Tally) summarize(match func(*Target) bool) Summary {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := Summary{Added: hdrhistogram.New(1, 60_000_000, 3), Codes: make(map[string]int)}
	for i := range t.results {
		if e := &t.results[i]; match(e.Target) {
			s.count(e)
		}
	}
	return s
}

func (s *Summary) count(result *Result) {
	s.Sent++
	s.Retries += result.Retries
	switch result.Outcome {
	case classifier.OutcomeAnswered:
		s.Answered++
		if !result.BodyMatches {
			s.MixedUp++
		}
		if result.Total <= int64(result.Target.LatencyTarget)*1000 {
			s.InTime++
		}
		_ = s.Added.RecordValue(max(result.Added, 1))
	case classifier.OutcomeNotRun:
		s.NotRun++
		s.Codes[result.Code]++
	default:
		s.Unknown++
		s.Codes[result.Code]++
	}
}

// Violations counts the requests that broke a guarantee of the proxy.
type Violations struct {
	RanTwice       int // non-idempotent requests that ran more than once
	NotRunButRan   int // non-idempotent requests with the outcome "not run" that ran
	AnsweredNotRun int // answered requests that no upstream ran
}

// verify compares all results with the number of runs of each request id on the upstreams.
func (t *Tally) verify(runs map[string]int) Violations {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var v Violations
	for i := range t.results {
		result := &t.results[i]
		ran := runs[result.ID]
		if !result.Target.Idempotent && ran > 1 {
			v.RanTwice++
		}
		if result.Outcome == classifier.OutcomeNotRun && ran > 0 && !result.Target.Idempotent {
			v.NotRunButRan++
		}
		if result.Outcome == classifier.OutcomeAnswered && ran == 0 {
			v.AnsweredNotRun++
		}
	}
	return v
}
