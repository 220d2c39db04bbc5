package retrier

import (
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Parameters of a budget. A call earns one unit of credit and a retry costs tokenPrice. The price is above 10, and the
// limit small, so that retries stay under a tenth of the calls in any span of seconds, also when calls of the seconds
// before left credit: with a price of 10 and a limit of 100 retries, 13% were measured at 1.3 times capacity.
const (
	tokenPrice  = 12
	tokenLimit  = 10 * tokenPrice
	tokenPeriod = 10 * timekeeper.Second // credit earned before the last full period is void
)

// budget is the token bucket of one service.
type budget struct {
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
	b.credit = min(b.credit+1, tokenLimit)
}

// spend takes the price of a retry, and reports whether the budget had it.
func (b *budget) spend(now timekeeper.Millis) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.roll(now)
	if b.credit < tokenPrice {
		return false
	}
	b.credit -= tokenPrice
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
