package retrier

import (
	"math"
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Options sets up a Retrier.
type Options struct {
	Clock timekeeper.Clock
	Ratio float64 // retries of a service as a share of its calls; 0 for a tenth
}

// Retrier keeps a retry budget for each service. Calls of different services share no lock.
type Retrier struct {
	clock   timekeeper.Clock
	price   int      // of a retry, in calls
	budgets sync.Map // service name to *budget
	rules   rules
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

// Decide tells whether a failed attempt is sent again, and takes the retry from the service's budget.
func (r *Retrier) Decide(a Attempt) Decision {
	now := r.clock.Now()
	decision := judge(now, a, r.rules)
	if !decision.Retry || a.Unsent || r.rules.unlimited {
		return decision
	}
	if !r.budget(a.Service).spend(now) {
		return deny(ReasonBudget)
	}
	return decision
}

// budget returns the budget of a service.
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
