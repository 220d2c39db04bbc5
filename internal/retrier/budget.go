package retrier

import (
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Parameters of a budget. Each call earns one unit of credit, and each retry costs the price.
const (
	// defaultRatio is the maximum ratio of retries to calls over any few seconds.
	defaultRatio = 0.1
	// priceFactor multiplies the price of a retry, 1/ratio calls. It is above 1 because credit left over from the seconds
	// before allows more retries: with 1, a ratio of 10% gave 13% retries at 1.3 times capacity.
	priceFactor = 1.2
	// maxRetries bounds the credit of a budget, as a number of retries.
	maxRetries   = 10
	creditPeriod = 10 * timekeeper.Second // credit earned before the last full period expires
)

// budget is the token bucket of one service.
type budget struct {
	price  int // credit that a retry costs; each call earns 1
	mutex  sync.Mutex
	credit int               // available credit
	earned int               // credit earned in the current period
	period timekeeper.Millis // number of the current period: time divided by creditPeriod
}

// earn adds the credit of a call that is not a retry.
func (b *budget) earn(now timekeeper.Millis) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.expire(now)
	b.earned++
	b.credit = min(b.credit+1, maxRetries*b.price)
}

// spend deducts the price of a retry and returns true, or returns false if the credit is too low.
func (b *budget) spend(now timekeeper.Millis) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.expire(now)
	if b.credit < b.price {
		return false
	}
	b.credit -= b.price
	return true
}

// expire drops credit of past periods, so that calls of long ago do not pay for a storm of retries.
func (b *budget) expire(now timekeeper.Millis) {
	period := now / creditPeriod
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
