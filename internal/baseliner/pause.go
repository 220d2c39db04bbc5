package baseliner

import (
	"context"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// pause waits until the duration has passed or ctx ends.
func pause(ctx context.Context, duration timekeeper.Millis) {
	timer := time.NewTimer(duration.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
