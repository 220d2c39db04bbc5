package main

import (
	"fmt"
	"strings"
)

// report is the result of a seed.
type report struct {
	seed             uint64
	attempts         int
	servedShare      float64 // share of the clients' requests that succeeded
	servedShareAtEnd float64 // the same for requests sent in the last 2 s, after all faults
	faults           []fault
	violations       []string
}

// maxShown is the highest number of violations that are printed for a seed.
const maxShown = 12

// String returns one line with the result. If there are violations, a line with the faults and a line for each of the
// first maxShown violations follow.
func (r report) String() string {
	verdict := "held"
	if len(r.violations) > 0 {
		verdict = fmt.Sprintf("BROKEN %d", len(r.violations))
	}
	var text strings.Builder
	fmt.Fprintf(&text, "seed %d: %s, %d attempts, served %.3f, at the end %.3f", r.seed, verdict, r.attempts,
		r.servedShare, r.servedShareAtEnd)
	if len(r.violations) == 0 {
		return text.String()
	}
	fmt.Fprintf(&text, "\n  faults: %v", r.faults)
	for _, line := range r.violations[:min(maxShown, len(r.violations))] {
		text.WriteString("\n  " + line)
	}
	return text.String()
}
