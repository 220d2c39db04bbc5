package connector

import (
	"context"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// Guards against waits beyond the cap, and against nodes that failed together and retry together.
func TestBackoffIsBoundedAndSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		backoff := NewBackoff(BackoffBase, BackoffCap, rand.New(rand.NewPCG(seed, 0)))
		bound := BackoffBase
		for range 20 {
			if wait := backoff.Next(); wait < 0 || wait > bound {
				t.Fatalf("wait %d is above %d", wait, bound)
			}
			bound = min(2*bound, BackoffCap)
		}
		backoff.Reset()
		if wait := backoff.Next(); wait > BackoffBase {
			t.Fatalf("wait %d after a reset", wait)
		}
	})
	low := 0
	for seed := range uint64(1000) {
		backoff := NewBackoff(BackoffCap, BackoffCap, rand.New(rand.NewPCG(seed, 0)))
		if backoff.Next() < BackoffCap/2 {
			low++
		}
	}
	if low < 400 || low > 600 {
		t.Errorf("%d of 1000 waits are in the lower half", low)
	}
}

// Guards against a wait that outlives its context.
func TestBackoffWaitEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	backoff := NewBackoff(BackoffCap, BackoffCap, rand.New(rand.NewPCG(1, 0)))
	if backoff.Wait(ctx) == nil {
		t.Error("wait ignored its context")
	}
}
