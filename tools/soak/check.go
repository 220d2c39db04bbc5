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

// checker holds the records of one seed and the violations found in them.
type checker struct {
	*mesh
	attempts    []imitator.Attempt
	runsByID    map[string][]imitator.Run // by request id
	nodesByName map[string]*node
	violations  []string
}

// check compares the records of clients and servers with the promises and returns the report of the seed.
func (m *mesh) check() report {
	c := &checker{
		mesh: m, attempts: m.ledger.Attempts(),
		runsByID: make(map[string][]imitator.Run), nodesByName: make(map[string]*node),
	}
	for _, r := range m.ledger.Runs() {
		c.runsByID[r.ID] = append(c.runsByID[r.ID], r)
	}
	for _, n := range m.nodes {
		c.nodesByName[n.name] = n
	}
	c.checkRequests()
	c.checkServers()
	c.checkLimits()
	c.checkDepartures()
	c.checkActiveVersions()
	c.checkRollbacks()
	c.checkKeys()
	c.checkAllotment()
	c.checkRollout()
	if m.seed%plannedSeedInterval == 0 {
		c.checkPlannedFaults()
	}
	r := report{seed: m.seed, attempts: len(c.attempts), faults: m.faults}
	r.servedShare, r.servedShareAtEnd = c.servedShare(0), c.servedShare(startPhase+faultPhase+recoveryPhase-2*time.Second)
	if r.servedShareAtEnd < minServedShare {
		c.fail("only %.3f of the requests were served after all faults", r.servedShareAtEnd)
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	r.violations = slices.Concat(c.violations, m.findings)
	return r
}

// minServedShare is the share of requests that must succeed once all faults are over. The users require a quarter.
const minServedShare = 0.25

func (c *checker) fail(format string, arguments ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
}

// elapsed returns the seconds from the start to a time, for the text of a violation.
func (c *checker) elapsed(at time.Time) float64 {
	return at.Sub(c.startTime).Seconds()
}

// checkRequests compares each attempt with the runs of its request id.
func (c *checker) checkRequests() {
	for i := range c.attempts {
		a := &c.attempts[i]
		runs := c.runsByID[a.ID]
		if a.Fault != "" {
			c.fail("%s at %.3f s on %s: %s", a.ID, c.elapsed(a.Sent), a.Node, a.Fault)
		}
		if !a.Safe && len(runs) > 1 {
			c.fail("%s ran %d times", a.ID, len(runs))
		}
		if !a.Safe && len(runs) > 0 && imitator.GuaranteesNotRun(a.Status) {
			c.fail("%s at %.3f s on %s: status %d, and it ran", a.ID, c.elapsed(a.Sent), a.Node, a.Status)
		}
		for _, r := range runs {
			if r.Path != a.Path || r.Origin != a.Origin || r.Service != serviceOf(a.Path) {
				c.fail("%s: %s of %s ran as %s of %s at %s", a.ID, a.Path, a.Origin, r.Path, r.Origin, r.Service)
			}
		}
	}
}

// serviceOf returns the service to which every version routes a path.
func serviceOf(path string) string {
	if strings.HasPrefix(path, "/order/") || strings.HasPrefix(path, "/inner/") {
		return "b"
	}
	return "a"
}

// checkServers checks that each run belongs to an attempt, and that no server gets requests later than drainTimeout
// after its leaving was acknowledged.
func (c *checker) checkServers() {
	sent := make(map[string]bool, len(c.attempts))
	for i := range c.attempts {
		sent[c.attempts[i].ID] = true
	}
	leavingSince := make(map[string]time.Time)
	for _, departure := range c.ledger.Leaving() {
		leavingSince[departure.Instance] = departure.At
	}
	for id, runs := range c.runsByID {
		if !sent[id] {
			c.fail("%s ran and nobody sent it", id)
		}
		for _, r := range runs {
			if at, ok := leavingSince[r.Instance]; ok && r.At.Sub(at) > drainTimeout {
				c.fail("%s ran on %s %.1f s after it was leaving", id, r.Instance, r.At.Sub(at).Seconds())
			}
		}
	}
}

// Bounds of the users' rule on stated limits: in a window, a server may get limitFactor times what its limit allows,
// and limitExtra requests.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
)

// checkLimits checks that servers get no more requests than the limits that they state, from stablePeriod on. The rule
// exempts nodes with faults; this check does not.
func (c *checker) checkLimits() {
	starts := make(map[string][]time.Time) // by instance
	for _, runs := range c.runsByID {
		for _, r := range runs {
			starts[r.Instance] = append(starts[r.Instance], r.At)
		}
	}
	for _, limit := range c.ledger.Limits() {
		from := limit.From.Add(stablePeriod)
		inside := slices.DeleteFunc(slices.Clone(starts[limit.Instance]), func(at time.Time) bool {
			return at.Before(from) || at.After(limit.Until)
		})
		slices.SortFunc(inside, time.Time.Compare)
		allowed := int(limitFactor*float64(limit.PerSecond)*limitWindow.Seconds()) + limitExtra
		first := 0
		for i := range inside {
			for inside[i].Sub(inside[first]) > limitWindow {
				first++
			}
			if count := i - first + 1; count > allowed {
				c.fail("%s got %d requests in %.0f s up to %.1f s, its limit of %d/s allows %d", limit.Instance, count,
					limitWindow.Seconds(), c.elapsed(inside[i]), limit.PerSecond, allowed)
				break
			}
		}
	}
}

// checkDepartures checks that no server gets a request that a client sent later than drainTimeout after the same node
// passed on a response in which the server states that it is leaving. The rule exempts nodes with faults; this check
// does not.
func (c *checker) checkDepartures() {
	type statement struct{ node, instance string }
	passedOn := make(map[statement]time.Time) // the first time
	for i := range c.attempts {
		a := &c.attempts[i]
		s := statement{a.Node, a.Leaving}
		if at, ok := passedOn[s]; a.Leaving != "" && (!ok || a.Ended.Before(at)) {
			passedOn[s] = a.Ended
		}
	}
	for i := range c.attempts {
		a := &c.attempts[i]
		for _, r := range c.runsByID[a.ID] {
			if at, ok := passedOn[statement{a.Node, r.Instance}]; ok && a.Sent.Sub(at) > drainTimeout {
				c.fail("%s at %.3f s ran on %s, %.1f s after %s passed on that it is leaving", a.ID, c.elapsed(a.Sent),
					r.Instance, a.Sent.Sub(at).Seconds(), a.Node)
			}
		}
	}
}

// disturbed reports whether a fault affected a node, or the platform, between two times.
func (c *checker) disturbed(n *node, from, to time.Time) bool {
	if from.Before(c.startTime.Add(startPhase - stablePeriod)) {
		return true // nodes are starting
	}
	for _, f := range c.faults {
		faultStart := c.startTime.Add(startPhase + f.offset)
		faultEnd := faultStart.Add(f.duration)
		switch f.kind {
		case "change", "storm", "hup", "limit app":
			continue
		case "term", "kill", "replace":
			faultEnd = faultStart.Add(f.duration + gracePeriod + restartPause)
		}
		if (f.node == allNodes || c.nodes[f.node] == n) && faultStart.Before(to) && faultEnd.After(from) {
			return true
		}
	}
	return false
}

// probedVersion returns the version that an attempt probes, or 0 if the attempt is no probe.
func probedVersion(a *imitator.Attempt) uint64 {
	text, ok := strings.CutPrefix(a.Path, "/v")
	if !ok {
		return 0
	}
	text, _, _ = strings.Cut(text, "/")
	number, _ := strconv.ParseUint(text, 10, 64)
	return number
}

// checkActiveVersions checks that each node without a recent fault activates a version within applyTimeout.
func (c *checker) checkActiveVersions() {
	for i := range c.attempts {
		a := &c.attempts[i]
		number, n := probedVersion(a), c.nodesByName[a.Node]
		if number == 0 || a.Status == 0 || c.disturbed(n, a.Sent.Add(-stablePeriod), a.Ended) {
			continue
		}
		minVersion, maxVersion := uint64(0), uint64(0) // oldest and newest version that may be active
		for _, v := range c.versions {
			if a.Sent.Sub(v.acknowledged) > applyTimeout {
				minVersion = v.number
			}
			if v.writeStarted.Before(a.Ended) {
				maxVersion = v.number
			}
		}
		switch {
		case number < minVersion && a.Status == http.StatusOK:
			c.fail("%s at %.3f s: %s still has version %d, %d is due", a.ID, c.elapsed(a.Sent), a.Node, number, minVersion)
		case minVersion == maxVersion && number == minVersion && a.Status == http.StatusNotFound:
			c.fail("%s at %.3f s: %s does not have version %d", a.ID, c.elapsed(a.Sent), a.Node, number)
		}
	}
}

// checkRollbacks checks that no process returns to an older version.
func (c *checker) checkRollbacks() {
	type observation struct {
		number uint64
		at     time.Time
	}
	observations := make(map[string][]observation) // by process
	processKey := func(a *imitator.Attempt) string {
		return fmt.Sprintf("%s %d", a.Node, c.nodesByName[a.Node].generation(a.Sent))
	}
	for i := range c.attempts {
		a := &c.attempts[i]
		if number := probedVersion(a); number > 0 && a.Status == http.StatusOK {
			observations[processKey(a)] = append(observations[processKey(a)], observation{number, a.Ended})
		}
	}
	for i := range c.attempts {
		a := &c.attempts[i]
		number := probedVersion(a)
		if number == 0 || a.Status != http.StatusOK {
			continue
		}
		for _, s := range observations[processKey(a)] {
			if s.number > number && a.Sent.Sub(s.at) > rollbackTolerance {
				c.fail("%s at %.3f s: %s went back from version %d to %d", a.ID, c.elapsed(a.Sent), a.Node, s.number, number)
				break
			}
		}
	}
}

// cutOffTolerance is the time after the last byte of a request in which a stopping process may still cut it off.
const cutOffTolerance = 200 * time.Millisecond

// deadlineMargin is the longest time before a deadline at which a node gives up the wait for a response.
const deadlineMargin = 100 * time.Millisecond

// checkPlannedFaults checks that planned faults alone cut off no request. The users' rules exempt starting nodes: here,
// traffic begins while the nodes start, so that the first known server gets all of it.
func (c *checker) checkPlannedFaults() {
	for i := range c.attempts {
		a := &c.attempts[i]
		if c.elapsed(a.Sent) < stablePeriod.Seconds() || a.Incomplete {
			continue
		}
		if a.Status == 0 && a.Ended.Sub(a.Sent) > cutOffTolerance && a.Ended.Sub(a.Sent) < clientTimeout/2 {
			c.fail("%s at %.3f s on %s was cut off after %.3f s", a.ID, c.elapsed(a.Sent), a.Node, a.Ended.Sub(a.Sent).Seconds())
		}
		if a.Status == http.StatusBadGateway && probedVersion(a) == 0 && !c.endedAtDeadline(a) {
			c.fail("%s at %.3f s on %s: outcome unknown after %.3f s, %.3f s before its deadline", a.ID, c.elapsed(a.Sent),
				a.Node, a.Ended.Sub(a.Sent).Seconds(), a.Deadline.Sub(a.Ended).Seconds())
		}
	}
}

// endedAtDeadline reports whether the time of an attempt ended while it ran, because the last byte of its request came
// so late. A link that loses something delays the response. Nodes respond a moment before the deadline.
func (c *checker) endedAtDeadline(a *imitator.Attempt) bool {
	return a.Deadline.Sub(a.Sent) < cutOffTolerance+c.stall.Duration() && a.Deadline.Sub(a.Ended) < deadlineMargin
}

// servedShare returns the share of the requests sent later than a duration after the start that succeeded on any
// attempt.
func (c *checker) servedShare(after time.Duration) float64 {
	results := make(map[string]bool) // by request
	for i := range c.attempts {
		a := &c.attempts[i]
		id, try, ok := strings.Cut(a.ID, ".")
		if !ok || strings.HasPrefix(a.Path, "/inner/") {
			continue
		}
		if try == "0" && a.Sent.Sub(c.startTime) >= after && !results[id] {
			results[id] = false
		}
		if a.Status == http.StatusOK {
			results[id] = true
		}
	}
	servedCount := 0
	for _, served := range results {
		if served {
			servedCount++
		}
	}
	return float64(servedCount) / float64(max(len(results), 1))
}
