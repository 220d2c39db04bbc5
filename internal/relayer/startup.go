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

// startUp finds the floor of a new process: the head of the platform (rule a) or, while the platform does not
// respond, the highest version of a majority of ready members (rule b). It returns when the floor is found and its
// version is prepared; the node is ready when that is in force. Afterwards only relays call the platform.
func (r *Relayer) startUp(ctx context.Context) {
	backoff := r.backoff(connector.BackoffCap)
	for ctx.Err() == nil && !r.options.Follower.Ready() {
		done, err := r.confirm(ctx)
		if done {
			return
		}
		r.options.Logger.Info("relayer: node is not ready yet", zap.Error(err))
		_ = backoff.Wait(ctx)
	}
}

// confirm makes one attempt at either rule and reports whether it succeeded.
func (r *Relayer) confirm(ctx context.Context) (bool, error) {
	head, err := r.readHead(ctx)
	if err != nil {
		return r.confirmByMembers(ctx)
	}
	if head == nil {
		r.options.Follower.ConfirmFloor(0)
		return true, nil
	}
	r.options.Follower.ConfirmFloor(head.Version)
	err = r.learn(ctx, head, true)
	return err == nil, err
}

// confirmByMembers applies rule (b).
func (r *Relayer) confirmByMembers(ctx context.Context) (bool, error) {
	own := r.options.Members.Zone(r.options.Zone)
	floor, source, ok := floorOf(r.options.Name, own, r.ask(ctx))
	if r.off.floor && source.Name != "" {
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

// ask collects the versions of the other members of the data centre.
func (r *Relayer) ask(ctx context.Context) []report {
	var mutex sync.Mutex
	var reports []report
	var group errgroup.Group
	group.SetLimit(spreadWidth)
	for _, m := range r.targets() {
		group.Go(func() error {
			var status FloorStatus
			asked := &Floor{Format: Format, Listed: true}
			err := r.options.Caller.Call(ctx, m.Peer, "Relayer.Floor", asked, &status, callTimeout)
			if err == nil && status.check() == nil {
				mutex.Lock()
				defer mutex.Unlock()
				reports = append(reports, report{member: m, status: status})
			}
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

// follow takes in versions that are in force elsewhere.
func (r *Relayer) follow(ctx context.Context) {
	for {
		select {
		case s := <-r.news:
			if s.active <= r.options.Follower.ActiveVersion() {
				continue
			}
			if err := r.catchUp(ctx, s.member, s.active); err != nil {
				r.options.Logger.Debug("relayer: version of another node not obtained", zap.String("node", s.member.Name),
					zap.Error(err))
			}
		case <-ctx.Done():
			return
		}
	}
}

// catchUp prepares a version of another node. It goes into force at once if it is in force at a member of the own
// data centre, which had a majority for it; otherwise a relay spreads it, and any other node does so if no relay has.
func (r *Relayer) catchUp(ctx context.Context, from tracker.Member, version uint64) error {
	if r.options.Follower.Version(version) == nil {
		reply, err := r.fetch(ctx, from.Peer, &Fetch{
			Format: Format, Version: version, Base: r.options.Follower.ActiveVersion(),
		})
		if err != nil {
			return err
		}
		wanted := target{version: version, digest: reply.Digest, base: reply.Base, delta: reply.Delta}
		if err := wanted.take(reply); err != nil {
			return err
		}
		if err := r.obtain(ctx, wanted, from.Peer); err != nil {
			return err
		}
		if from.Zone == r.options.Zone && reply.Active >= version {
			r.options.Follower.Commit(version)
			return nil
		}
	} else if from.Zone == r.options.Zone && r.inForce(ctx, from, version) {
		r.options.Follower.Commit(version)
		return nil
	}
	if r.options.Members.IsRelay() {
		r.spawnSpread(version, false)
	}
	return nil
}

// inForce asks another node whether a version, or a later one, is in force there.
func (r *Relayer) inForce(ctx context.Context, from tracker.Member, version uint64) bool {
	var status FloorStatus
	err := r.options.Caller.Call(ctx, from.Peer, "Relayer.Floor", &Floor{Format: Format}, &status, callTimeout)
	return err == nil && status.check() == nil && status.Active >= version
}
