package retrier

import (
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Parameters of a budget. A call earns one unit of credit and a retry costs the price.
const (
	// defaultRatio is the share of retries among the calls in any span of seconds.
	defaultRatio = 0.1
	// priceFactor is the price of a retry in units of the calls that pay for it at the ratio. It is above 1, since calls
	// of the seconds before leave credit: at 1, 13% were measured for a ratio of 10% at 1.3 times capacity.
	priceFactor = 1.2
	// maxRetries is the number of retries for which credit is kept.
	maxRetries  = 10
	tokenPeriod = 10 * timekeeper.Second // credit earned before the last full period is void
)

// budget is the token bucket of one service.
type budget struct {
	price  int
	mutex  sync.Mutex
	credit int
	earned int
	period timekeeper.Millis
}

// earn counts a call that is not a retry.
func (b *budget) earn(now timekeeper.Millis) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.roll(now)
	b.earned++
	b.credit = min(b.credit+1, maxRetries*b.price)
}

// spend takes the price of a retry, and reports whether the budget had it.
func (b *budget) spend(now timekeeper.Millis) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.roll(now)
	if b.credit < b.price {
		return false
	}
	b.credit -= b.price
	return true
}

// roll voids old tokens, so that a quiet service cannot pay for a storm of retries with calls of long ago.
func (b *budget) roll(now timekeeper.Millis) {
	period := now / tokenPeriod
	switch period {
	case b.period:
		return
	case b.period + 1:
		b.credit = min(b.credit, b.earned)
	default:
		b.credit = 0
	}
	b.period, b.earned = period, 0
}
