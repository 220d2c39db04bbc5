package baseliner

import (
	"context"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// pause waits for a span of time or the end of ctx.
func pause(ctx context.Context, span timekeeper.Millis) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
