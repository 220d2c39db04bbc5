package main

import (
	"fmt"
	"strings"
)

// report is the result of a seed.
type report struct {
	seed     uint64
	attempts int
	served   float64 // share of the clients' requests that were served
	last     float64 // the same over the end of the seed, when all faults are over
	faults   []fault
	broken   []string
}

// maxShown bounds the findings that are printed for a seed.
const maxShown = 12

// String returns one line, and one more for each finding.
func (r report) String() string {
	verdict := "held"
	if len(r.broken) > 0 {
		verdict = fmt.Sprintf("BROKEN %d", len(r.broken))
	}
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %s, %d attempts, served %.3f, at the end %.3f", r.seed, verdict, r.attempts, r.served,
		r.last)
	if len(r.broken) == 0 {
		return text.String()
	}
	fmt.Fprintf(&text, "\n  faults: %v", r.faults)
	for _, line := range r.broken[:min(maxShown, len(r.broken))] {
		text.WriteString("\n  " + line)
	}
	return text.String()
}
