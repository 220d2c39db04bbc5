package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jasmineproxy/jasmineproxy/platform/imitator"
)

// Tenants of the soak. The steady one has all ordinary requests, the rotating one another key in each version, and the
// limited one an allotment that its clients exceed.
const (
	steadyTenant   = "steady"
	rotatingTenant = "rotating"
	limitedTenant  = "limited"
	// unknownKey is a key that no version has.
	unknownKey = "unknown"
)

// Bounds of the users' rules on keys and allotments: a withdrawn key must not run after revokeTimeout, and in a window
// a tenant may get its rate and burst, allotmentOverage of it more, and allotmentSlack.
const (
	revokeTimeout    = 5 * time.Second
	allotmentWindow  = 5 * time.Second
	allotmentOverage = 0.1
	allotmentSlack   = 20
	allotmentRate    = 30
	allotmentBurst   = 10
)

const (
	// keyInterval is the mean time between two requests of a node's clients of the rotating and limited tenants. Those of
	// six nodes send three times the allotment.
	keyInterval = 40 * time.Millisecond
	// keyAge is the number of versions for which clients go on using a key that was withdrawn.
	keyAge = 4
	// keysStream is the stream of the random source of sendKeys, apart from others, so that earlier seeds play the same
	// requests.
	keysStream = 4_000_000
)

// tenantsOf returns the tenants of a version.
func tenantsOf(number uint64) []imitator.Tenant {
	return []imitator.Tenant{
		{Name: steadyTenant, Keys: []string{steadyTenant}},
		{Name: rotatingTenant, Keys: []string{rotatingKey(number)}},
		{Name: limitedTenant, Keys: []string{limitedTenant}, RatePerS: allotmentRate, Burst: allotmentBurst},
	}
}

// rotatingKey returns the key that only this version has.
func rotatingKey(number uint64) string {
	return fmt.Sprintf("%s-%d", rotatingTenant, number)
}

// sendKeys sends requests with the keys of the rotating and the limited tenant, and with an unknown one, until ctx
// ends.
func (m *mesh) sendKeys(ctx context.Context, n *node, index int) {
	random := rand.New(rand.NewPCG(m.seed, uint64(index)+keysStream))
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	for i := 0; ctx.Err() == nil; i++ {
		pause(ctx, time.Duration(random.ExpFloat64()*float64(keyInterval)))
		key := limitedTenant
		switch kind := random.IntN(16); {
		case kind == 0:
			key = unknownKey
		case kind < 4:
			key = rotatingKey(max(m.newestVersion(), keyAge) - random.Uint64N(keyAge))
		}
		r := imitator.Request{
			ID: fmt.Sprintf("%s-key-%d", n.name, i), Path: fmt.Sprintf("/unsafe/%d", random.IntN(50)), Key: key,
			Wait: clientTimeout / 2,
		}
		inFlight.Go(func() { n.client.Try(context.WithoutCancel(ctx), r) })
	}
}

// tenantOf returns the name of the tenant that has a key, or "" for none.
func tenantOf(key string) string {
	switch {
	case strings.HasPrefix(key, rotatingTenant):
		return rotatingTenant
	case key == unknownKey:
		return ""
	}
	return key
}

// checkKeys checks that requests run for the tenant of their key, that the key is not passed on, and that no request
// runs whose key was unknown or withdrawn for longer than revokeTimeout. The last holds for all nodes, with faults or
// without.
func (c *checker) checkKeys() {
	withdrawn := make(map[string]time.Time)
	for i, v := range c.versions[1:] {
		withdrawn[rotatingKey(c.versions[i].number)] = v.acknowledged
	}
	for i := range c.attempts {
		a := &c.attempts[i]
		for _, r := range c.runsByID[a.ID] {
			if r.Tenant != tenantOf(a.Key) || r.Key != "" || a.Key == unknownKey {
				c.fail("%s at %.3f s on %s: key %q ran as tenant %q with key %q", a.ID, c.elapsed(a.Sent), a.Node, a.Key,
					r.Tenant, r.Key)
			}
			if at, ok := withdrawn[a.Key]; ok && a.Sent.Sub(at) > revokeTimeout {
				c.fail("%s at %.3f s on %s ran %.1f s after its key %q was withdrawn", a.ID, c.elapsed(a.Sent), a.Node,
					a.Sent.Sub(at).Seconds(), a.Key)
			}
		}
	}
}

// checkAllotment checks that the runs of the limited tenant stay within its allotment on all nodes together, and that
// there are some.
func (c *checker) checkAllotment() {
	type span struct{ sent, started time.Time }
	var spans []span
	for i := range c.attempts {
		a := &c.attempts[i]
		for _, r := range c.runsByID[a.ID] {
			if a.Key == limitedTenant {
				spans = append(spans, span{a.Sent, r.At})
			}
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return a.sent.Compare(b.sent) })
	allowed := int((allotmentRate*allotmentWindow.Seconds()+allotmentBurst)*(1+allotmentOverage)) + allotmentSlack
	for first, s := range spans {
		inside := 0
		for _, other := range spans[first:] {
			if other.started.Sub(s.sent) <= allotmentWindow {
				inside++
			}
		}
		if inside > allowed {
			c.fail("%d requests of %s ran in %.0f s from %.1f s on, its allotment allows %d", inside, limitedTenant,
				allotmentWindow.Seconds(), c.elapsed(s.sent), allowed)
			break
		}
	}
	if len(spans) < allotmentRate {
		c.fail("%d requests of %s ran", len(spans), limitedTenant)
	}
}
