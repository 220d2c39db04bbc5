// Package hedger decides when a second attempt of an idempotent request is sent while the first is still under way.
package hedger

import (
	"slices"
	"sync"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// minQuantile is the smallest share of the responses of a call that come before a second attempt is sent.
	minQuantile = 0.5
	// sampleSize is the number of the last responses of a call whose times are kept, and refreshSamples the number after
	// which the quantile is worked out again. Before minSamples there is no second attempt.
	sampleSize     = 256
	refreshSamples = 32
	minSamples     = 64
	// minDelay bounds the delay: below it, most second attempts would be late themselves.
	minDelay = 10 * timekeeper.Millis(1)
	// maxCredit bounds the second attempts that a quiet time earns.
	maxCredit = 5
)

// Hedger keeps the usual response times of calls, and the credit for second attempts of each service. It is safe for
// concurrent use.
type Hedger struct {
	share   float64  // second attempts for each request; as many of the requests are late enough for one
	calls   sync.Map // name of a call to *times
	credits sync.Map // name of a service to *credit
	sent    atomic.Int64
	won     atomic.Int64
}

// New returns a hedger that allows a share of extra attempts for each service.
func New(share float64) *Hedger {
	return &Hedger{share: share}
}

// Earn adds the share of one request of a service to its credit.
func (h *Hedger) Earn(service string) {
	load[credit](&h.credits, service).earn(h.share)
}

// Spend takes a second attempt off the credit of a service; false if there is not enough.
func (h *Hedger) Spend(service string) bool {
	return load[credit](&h.credits, service).spend()
}

// Observe records the response time of a call.
func (h *Hedger) Observe(call string, time timekeeper.Millis) {
	load[times](&h.calls, call).add(time, h.quantile())
}

// Delay returns the time after which a second attempt of a call may be sent; false if its usual times are not known
// yet.
func (h *Hedger) Delay(call string) (timekeeper.Millis, bool) {
	delay := timekeeper.Millis(load[times](&h.calls, call).delay.Load())
	return delay, delay > 0
}

// quantile returns the share of the responses of a call that come before a second attempt is sent: what the operator
// allows is enough for the rest.
func (h *Hedger) quantile() float64 {
	return max(1-h.share, minQuantile)
}

// RecordSent counts a second attempt, and RecordWon one whose response came first.
func (h *Hedger) RecordSent() { h.sent.Add(1) }

// RecordWon counts a second attempt whose response came first.
func (h *Hedger) RecordWon() { h.won.Add(1) }

// Sent returns the number of second attempts.
func (h *Hedger) Sent() int64 { return h.sent.Load() }

// Won returns the number of second attempts whose response came first.
func (h *Hedger) Won() int64 { return h.won.Load() }

// load returns the value of a key, and creates it if needed.
func load[T any](m *sync.Map, key string) *T {
	found, ok := m.Load(key)
	if !ok {
		found, _ = m.LoadOrStore(key, new(T))
	}
	value, _ := found.(*T)
	return value
}

// credit is the number of second attempts that a service may have.
type credit struct {
	mutex  sync.Mutex
	amount float64
}

func (c *credit) earn(share float64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.amount = min(c.amount+share, maxCredit)
}

func (c *credit) spend() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.amount < 1 {
		return false
	}
	c.amount--
	return true
}

// times keeps the last response times of one call.
type times struct {
	delay   atomic.Int64 // quantile of the samples, ms; 0 before there are enough
	mutex   sync.Mutex
	samples []timekeeper.Millis
	next    int // index of the oldest sample
	fresh   int // samples since the quantile was worked out
}

func (t *times) add(sample timekeeper.Millis, quantile float64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.samples) < sampleSize {
		t.samples = append(t.samples, sample)
	} else {
		t.samples[t.next] = sample
		t.next = (t.next + 1) % sampleSize
	}
	if t.fresh++; t.fresh < refreshSamples || len(t.samples) < minSamples {
		return
	}
	t.fresh = 0
	sorted := slices.Clone(t.samples)
	slices.Sort(sorted)
	t.delay.Store(int64(max(sorted[min(int(float64(len(sorted))*quantile), len(sorted)-1)], minDelay)))
}
