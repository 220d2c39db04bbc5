package subscriber

import (
	"context"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// backoffBase and backoffCap bound the backoff after a failed call, in ms: each call is billed, and a node has to
	// catch up within 3 s after an outage.
	backoffBase = 200 * timekeeper.Millis(1)
	backoffCap  = 2 * timekeeper.Second
	// initialBackoffCap bounds the backoff while the node has no configuration and cannot serve requests, in ms.
	initialBackoffCap = 500 * timekeeper.Millis(1)
)

// followPlatform reads the object, then watches it until a call fails or this node can wait at a relay. It reads the
// object again when the platform came back from an older copy.
func (s *Subscriber) followPlatform(ctx context.Context) {
	revision, err := s.list(ctx)
	for err == nil && ctx.Err() == nil {
		s.recordPlatformReply()
		if _, ok := s.selectRelay(); ok {
			return
		}
		era := s.era.Load()
		revision, err = s.watch(ctx, revision)
		if err == nil && s.era.Load() != era {
			// The revision belongs to the lost history. Changes since then reuse revisions up to it, and a watch from it does
			// not report them.
			revision, err = s.list(ctx)
		}
	}
	if ctx.Err() != nil {
		return
	}
	if !s.platformFailed.Swap(true) {
		s.options.Logger.Warn("platform unavailable", zap.Error(err), zap.Uint64("version", s.Version()))
	}
	pause := s.backoff.Next()
	if !s.Ready() {
		pause = min(pause, initialBackoffCap)
	}
	_ = connector.Sleep(ctx, pause)
}

// recordPlatformReply records a successful reply of the platform.
func (s *Subscriber) recordPlatformReply() {
	s.backoff.Reset()
	s.lastPlatformReply.Store(int64(s.options.Clock.Now()))
	if s.platformFailed.Swap(false) {
		s.options.Logger.Info("platform is back", zap.Uint64("version", s.Version()))
	}
}

// following reports whether the platform replied recently enough for this node to have its newest version.
func (s *Subscriber) following() bool {
	return !s.platformFailed.Load() && s.options.Clock.Now() <= s.followingUntil()
}

// followingUntil returns the time from which this node counts as cut off unless the platform replies.
func (s *Subscriber) followingUntil() timekeeper.Millis {
	return timekeeper.Millis(s.lastPlatformReply.Load()) + s.timing.watchWait + s.timing.watchSlack
}

// list reads and applies the current object.
func (s *Subscriber) list(ctx context.Context) (revision uint64, err error) {
	if !s.orders.ready() {
		if _, err = s.listOrders(ctx); err != nil {
			return 0, err
		}
	}
	sent := s.options.Boot.Now()
	snapshot, err := s.options.Platform.List(ctx, s.options.Kind)
	if err != nil {
		return 0, err
	}
	if s.applySnapshot(snapshot) {
		s.confirm(sent)
	}
	return snapshot.Revision, nil
}

// watch waits for changes after a revision and applies them.
func (s *Subscriber) watch(ctx context.Context, after uint64) (revision uint64, err error) {
	sent, era := s.options.Boot.Now(), s.era.Load()
	snapshot, err := s.options.Platform.Watch(ctx, s.options.Kind, after, s.timing.watchWait)
	if err != nil {
		return 0, err
	}
	if s.applySnapshot(snapshot) && snapshot.Era == era {
		s.confirm(s.watchEvidence(sent, len(snapshot.Objects) > 0))
	}
	return max(snapshot.Revision, after), nil
}

// applySnapshot applies the configuration in a reply of the platform, and reports whether it could be used.
func (s *Subscriber) applySnapshot(snapshot connector.Snapshot) bool {
	if before := s.era.Swap(snapshot.Era); before != snapshot.Era {
		s.options.Logger.Info("platform states another era", zap.Uint64("era", snapshot.Era),
			zap.Uint64("era_before", before), zap.Uint64("revision", snapshot.Revision), zap.Uint64("version", s.Version()))
		if before != 0 && s.options.OnRestore != nil {
			s.options.OnRestore()
		}
	}
	usable := true
	for _, object := range snapshot.Objects {
		if object.Name == s.options.Object && !object.Deleted {
			usable = s.apply(object.Value, "platform") && usable
		}
	}
	return usable
}
