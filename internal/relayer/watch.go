package relayer

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
)

// watch follows the head on the platform while this node is a relay.
func (r *Relayer) watch(ctx context.Context) {
	backoff := r.backoff(maxWatchBackoff)
	var revision uint64
	for ctx.Err() == nil {
		if !r.options.Members.IsRelay() {
			_ = connector.Sleep(ctx, pollInterval)
			continue
		}
		seen, err := r.watchOnce(ctx, revision)
		if err != nil {
			r.options.Logger.Debug("relayer: watch failed", zap.Error(err))
			_ = backoff.Wait(ctx)
			continue
		}
		backoff.Reset()
		revision = max(revision, seen)
	}
}

// watchOnce waits for a change of the head after a revision, prepares the new version and returns the revision seen.
// The deadline is slightly longer than the wait, so that a watch over a dead connection ends.
func (r *Relayer) watchOnce(ctx context.Context, after uint64) (uint64, error) {
	bounded, cancel := context.WithTimeout(ctx, (watchWait + watchMargin).Duration())
	defer cancel()
	snapshot, err := r.options.Platform.Watch(bounded, connector.KindHead, after, watchWait)
	if err != nil {
		return 0, err
	}
	for _, object := range snapshot.Objects {
		if object.Name != publisher.HeadName || object.Deleted {
			continue
		}
		head, err := publisher.DecodeHead(object.Value)
		if err != nil {
			r.options.Logger.Warn("relayer: head refused", zap.Error(err))
			return max(after, object.Revision), nil
		}
		if err := r.prepareHead(ctx, &head, false); err != nil {
			return 0, err // the next watch returns the same head, because a section could not be fetched
		}
		after = max(after, object.Revision)
	}
	return after, nil
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
