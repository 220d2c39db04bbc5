package relayer

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
)

// position is where a watch of the head continues. Its zero value is before the first change.
type position struct {
	era      uint64 // of the platform
	revision uint64
	version  uint64 // highest version that was prepared from a head
}

// restart returns the position before the first change. Versions prepared so far are not distributed again.
func (p position) restart() position {
	return position{version: p.version}
}

// watch follows the head on the platform while this node is a relay. After a failure it starts again with the current
// head: the platform may have come back from an older copy, which lacks the revisions seen so far.
func (r *Relayer) watch(ctx context.Context) {
	backoff := r.backoff(maxWatchBackoff)
	var at position
	for ctx.Err() == nil {
		if !r.options.Members.IsRelay() {
			_ = connector.Sleep(ctx, pollInterval)
			continue
		}
		next, err := r.watchOnce(ctx, at)
		if err != nil {
			r.options.Logger.Debug("relayer: watch failed", zap.Error(err))
			at = at.restart()
			_ = backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
		at = next
	}
}

// watchOnce waits for a change of the head after a position, prepares the new version and returns the next position.
// The deadline is slightly longer than the wait, so that a watch over a dead connection ends.
func (r *Relayer) watchOnce(ctx context.Context, at position) (position, error) {
	bounded, cancel := context.WithTimeout(ctx, (watchWait + watchMargin).Duration())
	defer cancel()
	snapshot, err := r.options.Platform.Watch(bounded, connector.KindHead, at.revision, watchWait)
	if err != nil {
		return position{}, err
	}
	if at.revision > 0 && snapshot.Era != at.era {
		r.options.Logger.Info("relayer: platform states another era", zap.Uint64("era", snapshot.Era),
			zap.Uint64("era_before", at.era), zap.Uint64("revision", at.revision))
		return at.restart(), nil
	}
	next := at
	next.era = snapshot.Era
	for _, object := range snapshot.Objects {
		if object.Name != publisher.HeadName || object.Deleted {
			continue
		}
		head, err := publisher.DecodeHead(object.Value)
		if err != nil {
			r.options.Logger.Warn("relayer: head refused", zap.Error(err))
			next.revision = max(next.revision, object.Revision)
			return next, nil
		}
		if head.Version > at.version {
			if err := r.prepareHead(ctx, &head, false); err != nil {
				return position{}, err // the next watch returns the same head, because a section could not be fetched
			}
		}
		next.revision, next.version = max(next.revision, object.Revision), max(next.version, head.Version)
	}
	return next, nil
}

// prepareHead prepares the version of a head and, on a relay, starts to distribute it. With askFirst, members are asked
// for their versions first, because they probably have it.
func (r *Relayer) prepareHead(ctx context.Context, head *publisher.Head, askFirst bool) error {
	wanted := target{
		version: head.Version, digest: head.Digest, manifest: head.Manifest, base: head.Base, delta: head.Delta,
		fromPlatform: !askFirst && r.options.Follower.ActiveVersion() > 0,
	}
	if err := r.obtain(ctx, wanted, ""); err != nil {
		return err
	}
	if r.options.Members.IsRelay() {
		r.startDistribution(head.Version, askFirst)
	}
	return nil
}

// readHead reads the head from the platform. It returns nil without an error if no version was ever published.
func (r *Relayer) readHead(ctx context.Context) (*publisher.Head, error) {
	ctx, cancel := context.WithTimeout(ctx, headTimeout.Duration())
	defer cancel()
	snapshot, err := r.options.Platform.List(ctx, connector.KindHead)
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(snapshot.Objects, func(o connector.Object) bool {
		return o.Name == publisher.HeadName && !o.Deleted
	})
	if i < 0 {
		return nil, nil //nolint:nilnil // no head is a state of the platform, not a failure
	}
	head, err := publisher.DecodeHead(snapshot.Objects[i].Value)
	return &head, err
}
