// Package allotter bounds the requests of client accounts over all nodes together, without a coordinator.
package allotter

import (
	"math"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// bucket is a token bucket. Its rate and burst may change at any time.
type bucket struct {
	tokens float64
	at     timekeeper.Millis // time of the last change
}

// newBucket returns a bucket that earned tokens since a time.
func newBucket(since timekeeper.Millis) *bucket {
	return &bucket{at: since}
}

// refill adds the tokens that were earned since the last change.
func (b *bucket) refill(now timekeeper.Millis, rate, burst float64) {
	if now > b.at {
		b.tokens += float64(now-b.at) * rate / float64(timekeeper.Second)
		b.at = now
	}
	b.tokens = min(b.tokens, burst)
}

// take takes up to wanted whole tokens and returns their number.
func (b *bucket) take(wanted int) int {
	taken := min(wanted, int(max(b.tokens, 0)))
	b.tokens -= float64(taken)
	return taken
}

// wait returns the time in ms until the bucket has a whole token.
func (b *bucket) wait(rate float64) timekeeper.Millis {
	if b.tokens >= 1 || rate <= 0 {
		return 0
	}
	return timekeeper.Millis(math.Ceil((1 - b.tokens) * float64(timekeeper.Second) / rate))
}
