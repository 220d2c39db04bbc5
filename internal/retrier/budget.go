package retrier

import (
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Parameters of a budget. Tokens are counted in tenths: a call earns one tenth and a retry costs a whole token, so
// retries never exceed a tenth of the calls.
const (
	tokenPrice  = 10
	tokenLimit  = 100 * tokenPrice       // a burst of at most 100 retries
	tokenPeriod = 10 * timekeeper.Second // tokens earned before the last full period are void
)

// budget is the token bucket of one service.
type budget struct {
	mutex  sync.Mutex
	tenths int
	earned int
	period timekeeper.Millis
}

// earn counts a call that is not a retry.
func (b *budget) earn(now timekeeper.Millis) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.roll(now)
	b.earned++
	b.tenths = min(b.tenths+1, tokenLimit)
}

// spend takes the price of a retry, and reports whether the budget had it.
func (b *budget) spend(now timekeeper.Millis) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.roll(now)
	if b.tenths < tokenPrice {
		return false
	}
	b.tenths -= tokenPrice
	return true
}

// roll voids old tokens, so that a quiet service cannot pay for a storm of retries with calls of long ago.
func (b *budget) roll(now timekeeper.Millis) {
	period := now / tokenPeriod
	switch period {
	case b.period:
		return
	case b.period + 1:
		b.tenths = min(b.tenths, b.earned)
	default:
		b.tenths = 0
	}
	b.period, b.earned = period, 0
}
