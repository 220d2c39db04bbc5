package main

import (
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// Ending is how one request of the caller stand-in ended.
type Ending struct {
	Target  *Target
	ID      string
	Outcome classifier.Outcome
	Code    string
	Total   int64 // microseconds
	Added   int64 // microseconds without the run on the upstream
	Whole   bool  // the body belongs to the request
	Retries int   // attempts of the entry node beyond the first
}

// Tally counts the endings of requests.
type Tally struct {
	mutex   sync.Mutex
	endings []Ending
	dropped int // arrivals that the caller did not send
}

// drop counts an arrival that the caller did not send.
func (t *Tally) drop() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.dropped++
}

// add counts one ending.
func (t *Tally) add(e Ending) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.endings = append(t.endings, e)
}

// Summary is the figures of the endings that a filter accepts.
type Summary struct {
	Sent, Answered, InTime, NotRun, Unknown, Mixed, Retries int

	Added *hdrhistogram.Histogram // microseconds, of answered requests
	Codes map[string]int          // result codes of requests that were not answered
}

// summarize counts the endings that keep accepts.
func (t *Tally) summarize(keep func(*Target) bool) Summary {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := Summary{Added: hdrhistogram.New(1, 60_000_000, 3), Codes: make(map[string]int)}
	for i := range t.endings {
		if e := &t.endings[i]; keep(e.Target) {
			s.count(e)
		}
	}
	return s
}

func (s *Summary) count(e *Ending) {
	s.Sent++
	s.Retries += e.Retries
	switch e.Outcome {
	case classifier.OutcomeAnswered:
		s.Answered++
		if !e.Whole {
			s.Mixed++
		}
		if e.Total <= int64(e.Target.Goal)*1000 {
			s.InTime++
		}
		_ = s.Added.RecordValue(max(e.Added, 1))
	case classifier.OutcomeNotRun:
		s.NotRun++
		s.Codes[e.Code]++
	default:
		s.Unknown++
		s.Codes[e.Code]++
	}
}

// Violations are broken promises, found by comparing the endings with what the upstreams ran.
type Violations struct {
	Twice  int // non-idempotent requests that ran more than once
	False  int // requests ended as "not run" that ran
	Absent int // answered requests that no upstream ran
}

// verify compares all endings with the runs that the upstreams counted.
func (t *Tally) verify(runs map[string]int) Violations {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var v Violations
	for i := range t.endings {
		e := &t.endings[i]
		count := runs[e.ID]
		if !e.Target.Idempotent && count > 1 {
			v.Twice++
		}
		if e.Outcome == classifier.OutcomeNotRun && count > 0 && !e.Target.Idempotent {
			v.False++
		}
		if e.Outcome == classifier.OutcomeAnswered && count == 0 {
			v.Absent++
		}
	}
	return v
}
