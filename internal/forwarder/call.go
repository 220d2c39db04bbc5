package forwarder

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/isolator"
	"github.com/jasmineproxy/jasmineproxy/internal/router"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// localWaitDivisor divides the target of a call into the time that a request may wait for an upstream of its own data
// centre while one elsewhere is free. The rest is left for the run and for unforeseen waits.
const localWaitDivisor = 3

// call is one request of a caller at its entry node.
type call struct {
	job            job
	target         target
	route          router.Route
	pick           router.Request
	host           string
	header         http.Header
	body           *buffer
	deadline       timekeeper.Millis
	callerDeadline timekeeper.Millis // point in time until which the caller waits; not before the deadline
	age            timekeeper.Millis // time since the caller first sent the request, as far as is known
	// incarnation is that of the host node of the current attempt.
	incarnation uint64
	neverRan    bool             // the id was claimed and the claim released: no attempt of it ran
	mayHaveRun  bool             // an earlier attempt may have run
	calledOff   *atomic.Bool     // another attempt of the request was answered first; nil if there is none
	client      *compiler.Client // whose key the caller stated, or nil
	allotted    bool             // the request was taken off the allotment of the client account
	untilClose  bool             // the caller speaks HTTP/1.0: a body without a length ends with the connection
	crashes     int              // attempts during which the upstream crashed
	reached     int              // attempts that an upstream may have received
	// Each disables one mechanism; set by tests only.
	deliverTruncated, skipMatch bool
	partOfRetry                 bool // the request is part of a retry at an earlier node
}

// accept matches and validates a request. The call is returned with the error once its id is known.
func (e *Entry) accept(w http.ResponseWriter, r *http.Request) (*call, error) {
	c, err := e.resolveRoute(r)
	if err != nil {
		return nil, err
	}
	now := e.Clock.Now()
	if err = e.identify(c, now); err != nil {
		return nil, err
	}
	if err = e.applyLimits(c, r, now); err != nil {
		return c, err
	}
	if err = e.takeAllotment(c, r); err != nil {
		return c, err
	}
	if err = e.readBody(c, w, r); err != nil || e.Isolator == nil {
		return c, err
	}
	return c, e.Isolator.Check(isolator.Key{
		ID: c.job.ID, Account: c.job.Account, Call: c.job.Call, Fingerprint: c.job.Fingerprint,
	})
}

// resolveRoute matches a request to a call, and finds its service and the client account of its key. A request that
// matched a call has one also with the error.
func (e *Entry) resolveRoute(r *http.Request) (*call, error) {
	view := e.Views.Active()
	if view == nil || !e.Views.Ready() {
		return nil, classifier.Refuse(classifier.CodeNotReady, e.Name, "the node has no confirmed configuration")
	}
	t, err := targetOf(r)
	if err != nil {
		return nil, err
	}
	route, err := e.matcher.Match(view, r.Host, r.Method, t.path)
	if err != nil {
		return nil, err
	}
	c := &call{target: t, route: route, host: r.Host, header: r.Header, untilClose: !r.ProtoAtLeast(1, 1)}
	c.job = job{
		ID: r.Header.Get(headerID), Idempotent: route.Call.Idempotent, Order: route.Rank.Order, Share: route.Rank.Share,
		Target: route.Rank.Target, Account: route.Account.Name, Call: route.Call.Name, Service: route.Call.Service,
		Method: r.Method, URI: t.String(), Token: rand.Uint64(), Origin: e.Service,
	}
	if parts := route.Call.Split; len(parts) > 0 {
		c.job.Service = drawService(parts)
	}
	if err = e.authenticate(c, view, r); err != nil {
		return c, err
	}
	c.pick = router.Request{
		Service: c.job.Service, Account: c.job.Account, Client: c.job.Client, Call: c.job.Call, Rank: c.job.Order,
		MaxLocalWait: c.job.Target / localWaitDivisor,
	}
	return c, nil
}

// drawService draws the service of one request at random, by the weights of the split. If all weights are 0, it returns
// the first service.
func drawService(parts []compiler.Part) string {
	sum := 0
	for _, part := range parts {
		sum += part.Weight
	}
	if sum > 0 {
		drawn := rand.IntN(sum)
		for _, part := range parts {
			if drawn -= part.Weight; drawn < 0 {
				return part.Service
			}
		}
	}
	return parts[0].Service
}

// identify validates the id of a request, or generates one.
func (e *Entry) identify(c *call, now timekeeper.Millis) error {
	if c.job.ID != "" && e.OpaqueIDs {
		c.job.Fresh = true
		if !validToken(c.job.ID) {
			return classifier.Refuse(classifier.CodeIDMalformed, headerID, "%.40q is not an id", c.job.ID)
		}
		return nil
	}
	if c.job.ID != "" {
		if err := checkID(c.job.ID, now); err != nil {
			return err
		}
		if e.HomeZone != nil && !c.job.Idempotent {
			c.pick.PreferredZone = e.HomeZone(c.job.ID, c.job.Account, c.job.Call)
		}
		return nil
	}
	c.job.Fresh = true
	if e.NewID != nil && !c.job.Idempotent {
		c.job.ID = e.NewID(c.job.Account, c.job.Call)
		return nil
	}
	c.job.ID = newID(now)
	return nil
}

// applyLimits applies the deadline, the depth limit and the check of internal calls.
func (e *Entry) applyLimits(c *call, r *http.Request, now timekeeper.Millis) error {
	if c.route.Call.Internal && (e.Internal == "" || r.Header.Get(headerInternal) != e.Internal) {
		return classifier.Refuse(classifier.CodeInternalCall, c.job.Call,
			"the call is open to services of the client account only")
	}
	depth, err := decodeMillis(r.Header, headerDepth, 0)
	if err != nil {
		return err
	}
	if c.job.Depth = int(depth) + 1; c.job.Depth > maxDepth {
		return classifier.Refuse(classifier.CodeTooDeep, c.job.Call, "the call chain is deeper than %d", maxDepth)
	}
	remaining, err := decodeMillis(r.Header, headerDeadline, c.route.Call.Timeout)
	if err != nil {
		return err
	}
	if remaining == 0 {
		return classifier.Refuse(classifier.CodeDeadlinePassed, c.job.Call, "the deadline passed before the call started")
	}
	c.deadline = now + min(remaining, c.route.Call.Timeout)
	longest := e.remainingTimes.add(now, c.job.Call, remaining)
	c.callerDeadline, c.age = now+remaining, longest-remaining
	switch {
	case c.client == nil && longest <= c.route.Call.Timeout: // calls inside runs state no key
		c.job.Nested = true
		c.job.Target = 0 // a refusal would fail the run that makes the call; a late response is better
		c.job.Order = 0
		c.pick.Rank = 0
	case c.job.Target > 0:
		c.job.Late = longest-remaining > c.job.Target
	}
	c.partOfRetry = r.Header.Get(headerRetry) != ""
	c.job.Retry = c.partOfRetry
	if failure := e.boundByStop(c); failure != nil {
		return failure
	}
	return nil
}

// contentLength returns the value of a Content-Length header.
func contentLength(n int) []string {
	return []string{strconv.Itoa(n)}
}
