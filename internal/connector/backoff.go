package connector

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Limits of the wait between failed calls to the platform.
const (
	BackoffBase = 100 * timekeeper.Millis(1)
	BackoffCap  = 10 * timekeeper.Second
)

// Backoff computes waits between attempts: uniform between 0 and a bound that doubles up to a cap (full jitter),
// so that nodes that failed together do not retry together. It is not safe for concurrent use.
type Backoff struct {
	base   timekeeper.Millis
	limit  timekeeper.Millis
	bound  timekeeper.Millis // longest next wait
	random *rand.Rand
}

// NewBackoff returns a backoff whose first wait is at most base and whose waits never exceed limit.
func NewBackoff(base, limit timekeeper.Millis, random *rand.Rand) *Backoff {
	return &Backoff{base: base, limit: limit, bound: base, random: random}
}

// Next returns the next wait in milliseconds.
func (b *Backoff) Next() timekeeper.Millis {
	wait := timekeeper.Millis(b.random.Int64N(int64(b.bound) + 1))
	b.bound = min(2*b.bound, b.limit)
	return wait
}

// Reset starts again with the base wait, after a success.
func (b *Backoff) Reset() {
	b.bound = b.base
}

// Wait sleeps for the next wait. It returns the context's error if ctx ends first.
func (b *Backoff) Wait(ctx context.Context) error {
	return Sleep(ctx, b.Next())
}

// Sleep waits for duration. It returns the context's error if ctx ends first.
func Sleep(ctx context.Context, duration timekeeper.Millis) error {
	timer := time.NewTimer(duration.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
