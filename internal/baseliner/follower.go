// Package baseliner holds naive versions that tests and measurements compare the design with.
package baseliner

import (
	"context"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// watchWait is the longest wait of one watch call in ms.
const watchWait = 25 * timekeeper.Second

// retryPause is the fixed pause after a failed call in ms; the naive follower has neither backoff nor jitter.
const retryPause = 500 * timekeeper.Millis(1)

// Follower is the naive configuration node: it watches the sources and reads them all at each change.
type Follower struct {
	platform connector.Platform
	view     atomic.Pointer[compiler.View]
	revision atomic.Uint64
}

// NewFollower returns a follower that reads from platform.
func NewFollower(platform connector.Platform) *Follower {
	return &Follower{platform: platform}
}

// Revision returns the platform revision of the sources in force.
func (f *Follower) Revision() uint64 {
	return f.revision.Load()
}

// Run follows the sources until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil {
			pause(ctx, retryPause)
		}
	}
	return nil
}

func (f *Follower) step(ctx context.Context) error {
	if f.view.Load() != nil {
		changes, err := f.platform.Watch(ctx, connector.KindSource, f.revision.Load(), watchWait)
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
