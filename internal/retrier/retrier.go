package retrier

import (
	"math"
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Options configures a Retrier.
type Options struct {
	Clock timekeeper.Clock
	Ratio float64 // maximum ratio of retries to calls of a service; 0 for a tenth
}

// Retrier keeps a retry budget per service. Calls to different services share no lock.
type Retrier struct {
	clock     timekeeper.Clock
	price     int       // calls that pay for a retry
	budgets   sync.Map  // service name to *budget
	overrides overrides // rules turned off; set by tests only
}

// New returns a retrier with empty budgets.
func New(options Options) *Retrier {
	if options.Ratio <= 0 {
		options.Ratio = defaultRatio
	}
	return &Retrier{clock: options.Clock, price: int(math.Ceil(priceFactor / options.Ratio))}
}

// RecordFirstAttempt counts the first attempt of a call to a service.
func (r *Retrier) RecordFirstAttempt(service string) {
	r.budget(service).earn(r.clock.Now())
}

// Decide decides whether a failed attempt is retried, and charges a retry to the budget of the service.
func (r *Retrier) Decide(a Attempt) Decision {
	now := r.clock.Now()
	decision := decide(now, a, r.overrides)
	if !decision.Retry || a.Unsent || r.overrides.ignoreBudget {
		return decision
	}
	if !r.budget(a.Service).spend(now) {
		return deny(ReasonBudget)
	}
	return decision
}

// budget returns the budget of a service, and creates it if needed.
func (r *Retrier) budget(service string) *budget {
	if found, ok := r.budgets.Load(service); ok {
		if b, ok := found.(*budget); ok {
			return b
		}
	}
	found, _ := r.budgets.LoadOrStore(service, &budget{price: r.price})
	b, _ := found.(*budget)
	return b
}
