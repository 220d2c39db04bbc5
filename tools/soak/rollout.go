package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/platform/imitator"
)

// The roll-out of each seed: the operator orders it at the start. The version on trial is bad in odd seeds.
const (
	orderKind      = "rollouts"
	trialService   = "a"
	initialVersion = "v1"
	trialVersion   = "v2"
	rolloutPeriod  = 12 * time.Second
)

// Bounds of the users' rule on roll-outs.
const (
	exposureShare  = 0.1 // of the requests of the service, for a bad version
	exposureSlack  = 50  // requests beyond it, and bad responses after which the version must get none
	rollbackPeriod = 5 * time.Second
)

// versionOf returns the version of the servers beside a node. Half of the nodes of trialService have the one on trial.
func versionOf(index int) string {
	if index%6 == 3 || index%6 == 4 {
		return trialVersion
	}
	return initialVersion
}

func (m *mesh) trialIsBad() bool { return m.seed%2 == 1 }

// writeOrder orders the roll-out.
func (m *mesh) writeOrder() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.ordered = time.Now()
	m.findings = append(m.findings, m.storeOrder()...)
}

// storeOrder stores the order and returns a finding if that fails.
func (m *mesh) storeOrder() []string {
	value, err := imitator.EncodeOrder(trialService, trialVersion, rolloutPeriod)
	if err == nil {
		err = m.store.Store(connector.Object{Kind: orderKind, Name: trialService, Value: value})
	}
	if err != nil {
		return []string{fmt.Sprintf("the order was not written: %v", err)}
	}
	return nil
}

// startFirstServer starts the first server beside a node. Those of the version on trial come when the mesh runs: a run
// whose own calls fail while nodes start would count against the version.
func (m *mesh) startFirstServer(ctx context.Context, n *node) {
	if n.version != trialVersion {
		m.startServer(ctx, n)
		return
	}
	go func() {
		pause(ctx, startPhase/2)
		m.startServer(ctx, n)
	}()
}

// checkRollout checks what a bad version gets, and that a good one is in force at the end if all faults were planned.
func (c *checker) checkRollout() {
	if !c.trialIsBad() {
		if c.seed%plannedSeedInterval == 0 {
			c.checkCompletion()
		}
		return
	}
	all, onTrial := 0, 0
	for _, runs := range c.runsByID {
		for _, r := range runs {
			if r.Service != trialService || r.At.Sub(c.ordered) > rolloutPeriod {
				continue
			}
			all++
			if r.Version == trialVersion {
				onTrial++
			}
		}
	}
	if allowed := int(exposureShare*float64(all)) + exposureSlack; onTrial > allowed {
		c.fail("the bad version got %d of %d requests, %d are allowed", onTrial, all, allowed)
	}
	c.checkRollback()
}

// checkRollback checks that no request that was sent later than rollbackPeriod after the exposureSlack-th bad response
// ran on the bad version. The rule counts from the last fault of the platform on.
func (c *checker) checkRollback() {
	stable := c.startTime
	for _, f := range c.faults {
		if strings.Contains(f.kind, "platform") {
			if end := c.startTime.Add(startPhase + f.offset + f.duration); end.After(stable) {
				stable = end
			}
		}
	}
	var bad []time.Time // ends of the bad responses
	for i := range c.attempts {
		a := &c.attempts[i]
		if a.Status == http.StatusInternalServerError && a.Ended.After(stable) && c.ranOnTrial(a) {
			bad = append(bad, a.Ended)
		}
	}
	slices.SortFunc(bad, time.Time.Compare)
	if len(bad) < exposureSlack {
		return
	}
	end := bad[exposureSlack-1].Add(rollbackPeriod)
	for i := range c.attempts {
		if a := &c.attempts[i]; a.Sent.After(end) && c.ranOnTrial(a) {
			c.fail("%s at %.3f s ran on the bad version, %.1f s after its %dth bad response", a.ID, c.elapsed(a.Sent),
				a.Sent.Sub(end.Add(-rollbackPeriod)).Seconds(), exposureSlack)
		}
	}
}

// ranOnTrial reports whether an attempt ran on the version on trial.
func (c *checker) ranOnTrial(a *imitator.Attempt) bool {
	return slices.ContainsFunc(c.runsByID[a.ID], func(r imitator.Run) bool { return r.Version == trialVersion })
}

// checkCompletion checks that the status of the order says that the good version is in force.
func (c *checker) checkCompletion() {
	order, err := c.store.Get(context.Background(), orderKind, trialService)
	if state := imitator.StateOf(order.Status); err != nil || state != "completed" {
		c.fail("the roll-out of a good version is %q at the end: %v", state, err)
	}
}
