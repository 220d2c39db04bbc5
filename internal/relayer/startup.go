package relayer

import (
	"context"
	"sync"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// startUp finds the floor of a new process: the version of the head on the platform (rule a) or, while the platform
// does not respond, the highest version among a majority of ready members (rule b). It returns once the floor is found
// and its version is prepared; the node is ready when that version is active. Afterwards only relays call the platform.
func (r *Relayer) startUp(ctx context.Context) {
	backoff := r.backoff(connector.BackoffCap)
	for ctx.Err() == nil && !r.options.Follower.Ready() {
		done, err := r.confirmFloor(ctx)
		if done {
			return
		}
		r.options.Logger.Info("relayer: node is not ready yet", zap.Error(err))
		_ = backoff.Wait(ctx)
	}
}

// confirmFloor makes one attempt by rule (a) or, if the platform fails, by rule (b), and reports whether it succeeded.
func (r *Relayer) confirmFloor(ctx context.Context) (bool, error) {
	head, err := r.readHead(ctx)
	if err != nil {
		return r.confirmFloorByMembers(ctx)
	}
	if head == nil {
		r.options.Follower.ConfirmFloor(0)
		return true, nil
	}
	r.options.Follower.ConfirmFloor(head.Version)
	err = r.prepareHead(ctx, head, true)
	return err == nil, err
}

// confirmFloorByMembers makes one attempt by rule (b).
func (r *Relayer) confirmFloorByMembers(ctx context.Context) (bool, error) {
	members := r.options.Members.Zone(r.options.Zone)
	floor, source, ok := majorityFloor(r.options.Name, members, r.collectReports(ctx))
	if r.disabled.floor && source.Name != "" {
		ok = true
	}
	if !ok || floor == 0 {
		return false, classifier.New(classifier.CodeNotReady, "node", "platform is down and too few members are ready")
	}
	if err := r.catchUp(ctx, source, floor); err != nil {
		return false, err
	}
	r.options.Follower.ConfirmFloor(floor)
	return true, nil
}

// collectReports asks the other members of the data centre for their versions and for the members that they list.
func (r *Relayer) collectReports(ctx context.Context) []floorReport {
	var mutex sync.Mutex
	var reports []floorReport
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, m := range r.otherLiveMembers() {
		group.Go(func() error {
			var status FloorStatus
			request := &Floor{Format: Format, Listed: true}
			err := r.options.Caller.Call(ctx, m.Peer, "Relayer.Floor", request, &status, callTimeout)
			if err == nil && status.check() == nil {
				mutex.Lock()
				defer mutex.Unlock()
				reports = append(reports, floorReport{member: m, status: status})
			}
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

// followObservations catches up with newer versions that are active on other nodes.
func (r *Relayer) followObservations(ctx context.Context) {
	for {
		select {
		case o := <-r.observations:
			if o.active <= r.options.Follower.ActiveVersion() {
				continue
			}
			if err := r.catchUp(ctx, o.member, o.active); err != nil {
				r.options.Logger.Debug("relayer: version of another node not obtained", zap.String("node", o.member.Name),
					zap.Error(err))
			}
		case <-ctx.Done():
			return
		}
	}
}

// catchUp prepares a version of another node. A version that is active on a member of the own data centre had a
// majority there and is activated at once. Any other version is distributed by a relay, or by any node if no relay does
// so in time.
func (r *Relayer) catchUp(ctx context.Context, from tracker.Member, version uint64) error {
	if r.options.Follower.Version(version) == nil {
		reply, err := r.fetch(ctx, from.Peer, &Fetch{
			Format: Format, Version: version, Base: r.options.Follower.ActiveVersion(),
		})
		if err != nil {
			return err
		}
		wanted := target{version: version, digest: reply.Digest, base: reply.Base, delta: reply.Delta}
		if err := wanted.setManifest(reply); err != nil {
			return err
		}
		if err := r.obtain(ctx, wanted, from.Peer); err != nil {
			return err
		}
		if from.Zone == r.options.Zone && reply.Active >= version {
			r.options.Follower.Commit(version)
			return nil
		}
	} else if from.Zone == r.options.Zone && r.isActiveAt(ctx, from, version) {
		r.options.Follower.Commit(version)
		return nil
	}
	if r.options.Members.IsRelay() {
		r.startDistribution(version, false)
	}
	return nil
}

// isActiveAt asks another node whether a version, or a later one, is active there.
func (r *Relayer) isActiveAt(ctx context.Context, from tracker.Member, version uint64) bool {
	var status FloorStatus
	err := r.options.Caller.Call(ctx, from.Peer, "Relayer.Floor", &Floor{Format: Format}, &status, callTimeout)
	return err == nil && status.check() == nil && status.Active >= version
}
