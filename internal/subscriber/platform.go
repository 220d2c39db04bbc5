package subscriber

import (
	"context"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// backoffBase and backoffCap bound the wait after a failed call: each one is paid for, and after an outage a
	// node has to catch up within 3 s.
	backoffBase = 200 * timekeeper.Millis(1)
	backoffCap  = 2 * timekeeper.Second
	// firstCap bounds that wait while the node has no configuration and serves nobody, in ms.
	firstCap = 500 * timekeeper.Millis(1)
)

// followPlatform reads the object, then watches it for as long as this node is to do that.
func (s *Subscriber) followPlatform(ctx context.Context) {
	revision, err := s.list(ctx)
	for err == nil && ctx.Err() == nil {
		s.reached()
		if _, ok := s.relay(); ok {
			return
		}
		revision, err = s.watch(ctx, revision)
	}
	if ctx.Err() != nil {
		return
	}
	if !s.lost.Swap(true) {
		s.options.Logger.Warn("platform is lost", zap.Error(err), zap.Uint64("version", s.Version()))
	}
	pause := s.backoff.Next()
	if !s.Ready() {
		pause = min(pause, firstCap)
	}
	_ = connector.Sleep(ctx, pause)
}

// reached notes a reply of the platform.
func (s *Subscriber) reached() {
	s.backoff.Reset()
	s.contact.Store(int64(s.options.Clock.Now()))
	if s.lost.Swap(false) {
		s.options.Logger.Info("platform is back", zap.Uint64("version", s.Version()))
	}
}

// following reports whether this node would know of a change by now.
func (s *Subscriber) following() bool {
	return !s.lost.Load() && s.options.Clock.Now() <= s.followingUntil()
}

// followingUntil returns the time at which this node counts as cut off unless the platform replies.
func (s *Subscriber) followingUntil() timekeeper.Millis {
	return timekeeper.Millis(s.contact.Load()) + s.timing.watch + s.timing.contact
}

// list reads the object as it is now.
func (s *Subscriber) list(ctx context.Context) (revision uint64, err error) {
	snapshot, err := s.options.Platform.List(ctx, s.options.Kind)
	if err != nil {
		return 0, err
	}
	s.take(snapshot)
	return snapshot.Revision, nil
}

// watch waits for changes after a revision.
func (s *Subscriber) watch(ctx context.Context, after uint64) (revision uint64, err error) {
	snapshot, err := s.options.Platform.Watch(ctx, s.options.Kind, after, s.timing.watch)
	if err != nil {
		return 0, err
	}
	s.take(snapshot)
	return max(snapshot.Revision, after), nil
}

func (s *Subscriber) take(snapshot connector.Snapshot) {
	for _, object := range snapshot.Objects {
		if object.Name == s.options.Object && !object.Deleted {
			s.apply(object.Value, "platform")
		}
	}
}
