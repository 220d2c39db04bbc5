package main

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jasmineproxy/jasmineproxy/platform/imitator"
)

// checker holds what one check of a seed needs.
type checker struct {
	*mesh
	attempts []imitator.Attempt
	runs     map[string][]imitator.Run // by id
	byName   map[string]*node
	broken   []string
}

// check compares what clients and servers saw with the promises.
func (m *mesh) check() report {
	c := &checker{
		mesh: m, attempts: m.ledger.Attempts(), runs: make(map[string][]imitator.Run), byName: make(map[string]*node),
	}
	for _, r := range m.ledger.Runs() {
		c.runs[r.ID] = append(c.runs[r.ID], r)
	}
	for _, n := range m.nodes {
		c.byName[n.name] = n
	}
	c.requests()
	c.servers()
	c.configuration()
	c.regress()
	if m.seed%plannedEvery == 0 {
		c.plannedWork()
	}
	r := report{seed: m.seed, attempts: len(c.attempts), faults: m.faults}
	r.served, r.last = c.served(0), c.served(startSpan+faultSpan+calmSpan-2*time.Second)
	if r.last < leastServed {
		c.fail("only %.3f of the requests were served after all faults", r.last)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r.broken = slices.Concat(c.broken, m.notes)
	return r
}

// leastServed is the share of requests that has to be served once all faults are over: a quarter on the users' pages.
const leastServed = 0.25

func (c *checker) fail(format string, arguments ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, arguments...))
}

// since returns a point in time in seconds after the start, as in the logs of a finding.
func (c *checker) since(at time.Time) float64 {
	return at.Sub(c.start).Seconds()
}

// requests checks each attempt against the runs with its id.
func (c *checker) requests() {
	for i := range c.attempts {
		a := &c.attempts[i]
		runs := c.runs[a.ID]
		if a.Fault != "" {
			c.fail("%s at %.3f s on %s: %s", a.ID, c.since(a.Sent), a.Node, a.Fault)
		}
		if !a.Safe && len(runs) > 1 {
			c.fail("%s ran %d times", a.ID, len(runs))
		}
		if !a.Safe && len(runs) > 0 && imitator.Promised(a.Status) {
			c.fail("%s at %.3f s on %s: status %d, and it ran", a.ID, c.since(a.Sent), a.Node, a.Status)
		}
		for _, r := range runs {
			if r.Path != a.Path || r.Origin != a.Origin || r.Service != serviceOf(a.Path) {
				c.fail("%s: %s of %s ran as %s of %s at %s", a.ID, a.Path, a.Origin, r.Path, r.Origin, r.Service)
			}
		}
	}
}

// serviceOf returns the service that each version names for a path.
func serviceOf(path string) string {
	if strings.HasPrefix(path, "/order/") || strings.HasPrefix(path, "/inner/") {
		return "b"
	}
	return "a"
}

// servers checks that nobody sends work to a server that was acknowledged as leaving.
func (c *checker) servers() {
	known := make(map[string]bool, len(c.attempts))
	for i := range c.attempts {
		known[c.attempts[i].ID] = true
	}
	left := make(map[string]time.Time)
	for _, one := range c.ledger.Leaving() {
		left[one.Instance] = one.At
	}
	for id, runs := range c.runs {
		if !known[id] {
			c.fail("%s ran and nobody sent it", id)
		}
		for _, r := range runs {
			if at, ok := left[r.Instance]; ok && r.At.Sub(at) > drain {
				c.fail("%s ran on %s %.1f s after it was leaving", id, r.Instance, r.At.Sub(at).Seconds())
			}
		}
	}
}

// touched reports whether a fault touched a node, or the platform, within a span.
func (c *checker) touched(n *node, from, to time.Time) bool {
	if from.Before(c.start.Add(startSpan - stable)) {
		return true // nodes are starting
	}
	for _, f := range c.faults {
		begun := c.start.Add(startSpan + f.from)
		ended := begun.Add(f.span)
		switch f.kind {
		case "change", "storm", "hup":
			continue
		case "term", "kill", "replace":
			ended = begun.Add(f.span + grace + restartPause)
		}
		if (f.node == everywhere || c.nodes[f.node] == n) && begun.Before(to) && ended.After(from) {
			return true
		}
	}
	return false
}

// probed returns the version that an attempt asked for, 0 if it was another request.
func probed(a *imitator.Attempt) uint64 {
	text, ok := strings.CutPrefix(a.Path, "/v")
	if !ok {
		return 0
	}
	text, _, _ = strings.Cut(text, "/")
	number, _ := strconv.ParseUint(text, 10, 64)
	return number
}

// configuration checks that each node in touch has a version in force in time.
func (c *checker) configuration() {
	for i := range c.attempts {
		a := &c.attempts[i]
		number, n := probed(a), c.byName[a.Node]
		if number == 0 || a.Status == 0 || c.touched(n, a.Sent.Add(-stable), a.Ended) {
			continue
		}
		due, last := uint64(0), uint64(0) // in force by then at the least, and at the most
		for _, v := range c.versions {
			if a.Sent.Sub(v.stored) > apply {
				due = v.number
			}
			if v.begun.Before(a.Ended) {
				last = v.number
			}
		}
		switch {
		case number < due && a.Status == http.StatusOK:
			c.fail("%s at %.3f s: %s still has version %d, %d is due", a.ID, c.since(a.Sent), a.Node, number, due)
		case due == last && number == due && a.Status == http.StatusNotFound:
			c.fail("%s at %.3f s: %s does not have version %d", a.ID, c.since(a.Sent), a.Node, number)
		}
	}
}

// regress checks that no process goes back to an older version.
func (c *checker) regress() {
	type seen struct {
		number uint64
		at     time.Time
	}
	newest := make(map[string][]seen) // by process
	key := func(a *imitator.Attempt) string {
		return fmt.Sprintf("%s %d", a.Node, c.byName[a.Node].generation(a.Sent))
	}
	for i := range c.attempts {
		a := &c.attempts[i]
		if number := probed(a); number > 0 && a.Status == http.StatusOK {
			newest[key(a)] = append(newest[key(a)], seen{number, a.Ended})
		}
	}
	for i := range c.attempts {
		a := &c.attempts[i]
		number := probed(a)
		if number == 0 || a.Status != http.StatusOK {
			continue
		}
		for _, s := range newest[key(a)] {
			if s.number > number && a.Sent.Sub(s.at) > rollback {
				c.fail("%s at %.3f s: %s went back from version %d to %d", a.ID, c.since(a.Sent), a.Node, s.number, number)
				break
			}
		}
	}
}

// slack is how long after its last byte a request may still be cut off by a process that stops.
const slack = 200 * time.Millisecond

// plannedWork checks that planned work alone breaks no request off. Starting nodes are excepted, as by the users'
// rules: traffic begins with them here, so that the first server that is known gets all of it.
func (c *checker) plannedWork() {
	for i := range c.attempts {
		a := &c.attempts[i]
		if c.since(a.Sent) < stable.Seconds() {
			continue
		}
		if a.Status == 0 && a.Ended.Sub(a.Sent) > slack && a.Ended.Sub(a.Sent) < clientWait/2 {
			c.fail("%s at %.3f s on %s was cut off after %.3f s", a.ID, c.since(a.Sent), a.Node, a.Ended.Sub(a.Sent).Seconds())
		}
		if a.Status == http.StatusBadGateway && probed(a) == 0 {
			c.fail("%s at %.3f s on %s: outcome unknown", a.ID, c.since(a.Sent), a.Node)
		}
	}
}

// served returns the share of the requests begun after a span that were served in the end.
func (c *checker) served(after time.Duration) float64 {
	results := make(map[string]bool) // by request
	for i := range c.attempts {
		a := &c.attempts[i]
		id, try, ok := strings.Cut(a.ID, ".")
		if !ok || strings.HasPrefix(a.Path, "/inner/") {
			continue
		}
		if try == "0" && a.Sent.Sub(c.start) >= after && !results[id] {
			results[id] = false
		}
		if a.Status == http.StatusOK {
			results[id] = true
		}
	}
	answered := 0
	for _, served := range results {
		if served {
			answered++
		}
	}
	return float64(answered) / float64(max(len(results), 1))
}
