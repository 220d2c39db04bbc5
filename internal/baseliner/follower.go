// Package baseliner provides a naive follower and a naive proxy as baselines for tests and benchmarks.
package baseliner

import (
	"context"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// maxWatchWait is the longest time that a watch call waits for a change, in ms.
const maxWatchWait = 25 * timekeeper.Second

// retryDelay is the fixed delay after a failed call, in ms. The naive follower has neither backoff nor jitter.
const retryDelay = 500 * timekeeper.Millis(1)

// Follower is a naive configuration client: it watches the sources and reads all of them again after each change.
type Follower struct {
	platform connector.Platform
	view     atomic.Pointer[compiler.View]
	revision atomic.Uint64
}

// NewFollower returns a follower that reads from platform.
func NewFollower(platform connector.Platform) *Follower {
	return &Follower{platform: platform}
}

// Revision returns the platform revision of the sources that were read last.
func (f *Follower) Revision() uint64 {
	return f.revision.Load()
}

// Run follows the sources until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			pause(ctx, retryDelay)
		}
	}
	return nil
}

func (f *Follower) step(ctx context.Context) error {
	if f.view.Load() != nil {
		changes, err := f.platform.Watch(ctx, connector.KindSource, f.revision.Load(), maxWatchWait)
		if err != nil || len(changes.Objects) == 0 {
			return err
		}
	}
	snapshot, err := f.platform.List(ctx, connector.KindSource)
	if err != nil {
		return err
	}
	sources := make([]compiler.Source, 0, len(snapshot.Objects))
	for _, object := range snapshot.Objects {
		sources = append(sources, compiler.Source{Name: object.Name, Value: object.Value})
	}
	view, problems := compiler.Compile(sources)
	if len(problems) == 0 {
		f.view.Store(&view)
	}
	f.revision.Store(snapshot.Revision)
	return nil
}
