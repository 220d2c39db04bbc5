package relayer

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/follower"
	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// inlineDelta is the largest delta that an offer carries. Both relays offer each version to each member; a larger
// delta is fetched, so that it travels once.
const inlineDelta = 1 << 10

// tally collects the versions of the members while one version spreads.
type tally struct {
	mutex  sync.Mutex
	known  map[string]uint64
	active map[string]uint64
	begun  atomic.Bool // commitRest runs as soon as the majority is reached, while other offers still wait
}

func (t *tally) set(name string, known, active uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.known[name], t.active[name] = max(t.known[name], known), max(t.active[name], active)
}

func (t *tally) get(name string) (known, active uint64) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.known[name], t.active[name]
}

func (t *tally) copyKnown() map[string]uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	known := make(map[string]uint64, len(t.known))
	for name, version := range t.known {
		known[name] = version
	}
	return known
}

// spawnSpread starts to spread a version unless that is under way. With ask, members are asked for their versions
// first, so that only those that lack the version get an offer.
func (r *Relayer) spawnSpread(version uint64, ask bool) {
	r.mutex.Lock()
	busy := r.spreading[version]
	r.spreading[version] = true
	r.mutex.Unlock()
	if busy {
		return
	}
	r.spawn(func(ctx context.Context) {
		r.spread(ctx, version, ask)
		r.mutex.Lock()
		delete(r.spreading, version)
		r.mutex.Unlock()
	})
}

// spread offers a prepared version to the members of the data centre, commits it once the majority rule allows, and
// tells the members. Members that do not answer are tried again for a while; later they catch up through pings.
func (r *Relayer) spread(ctx context.Context, version uint64, ask bool) {
	v := r.options.Follower.Version(version)
	if v == nil {
		return
	}
	t := &tally{known: make(map[string]uint64), active: make(map[string]uint64)}
	wait := timekeeper.Millis(retrySpan)
	for end := r.options.Clock.Now() + spreadSpan; ctx.Err() == nil && r.options.Clock.Now() < end; {
		if r.round(ctx, v, t, ask) && (ask || r.options.Follower.Known() > version) {
			break
		}
		if r.finished(version, t) {
			break
		}
		_ = connector.Sleep(ctx, wait+r.jitter(wait/2))
		wait = min(2*wait, retryMax)
	}
	r.options.Members.Observe(t.copyKnown())
}

// round offers the version to the members that are not known to have it in force, and reports whether it is in force
// here.
func (r *Relayer) round(ctx context.Context, v *follower.Version, t *tally, ask bool) bool {
	first, second := r.halves(ask)
	done := make(chan struct{})
	go func() {
		r.offerAll(ctx, first, v, t, false)
		close(done)
	}()
	timer := time.NewTimer(timekeeper.Millis(halfPatience).Duration())
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	r.offerAll(ctx, second, v, t, true)
	<-done
	committed := r.tryCommit(v.View.Version, t)
	if committed {
		r.commitRest(ctx, v, t)
	}
	return committed
}

// halves splits the members into those that this relay offers to at once and those that it asks for their version
// first, because the other relay is likely to have offered to them. A node that is no relay asks all.
func (r *Relayer) halves(ask bool) (first, second []tracker.Member) {
	rank := slices.IndexFunc(r.options.Members.Relays(r.options.Zone), func(m tracker.Member) bool {
		return m.Name == r.options.Name
	})
	for _, m := range r.targets() {
		if !ask && rank >= 0 && hash(m.Name)%2 == uint64(rank%2) {
			first = append(first, m)
		} else {
			second = append(second, m)
		}
	}
	return first, second
}

// offerAll offers the version to members that are not known to have it in force, and commits it as soon as it may.
func (r *Relayer) offerAll(
	ctx context.Context, members []tracker.Member, v *follower.Version, t *tally, ask bool,
) {
	var group errgroup.Group
	group.SetLimit(spreadWidth)
	for _, m := range members {
		group.Go(func() error {
			if known, _ := t.get(m.Name); known < v.View.Version {
				r.offer(ctx, m, v, t, ask)
			}
			if r.tryCommit(v.View.Version, t) {
				if !t.begun.Swap(true) {
					r.commitRest(ctx, v, t)
				}
				r.commit(ctx, m, v, t)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// commitRest tells the members that answered the offer before the majority was reached.
func (r *Relayer) commitRest(ctx context.Context, v *follower.Version, t *tally) {
	var group errgroup.Group
	group.SetLimit(spreadWidth)
	for _, m := range r.targets() {
		group.Go(func() error {
			r.commit(ctx, m, v, t)
			return nil
		})
	}
	_ = group.Wait()
}

// targets returns the other live members of the data centre, from a random one on.
func (r *Relayer) targets() []tracker.Member {
	var live []tracker.Member
	for _, m := range r.options.Members.Zone(r.options.Zone) {
		if m.Name != r.options.Name && m.Health < tracker.HealthFailed {
			live = append(live, m)
		}
	}
	if len(live) == 0 {
		return nil
	}
	start := int(r.jitter(1<<20)) % len(live)
	return append(live[start:len(live):len(live)], live[:start]...)
}

func (r *Relayer) offer(ctx context.Context, m tracker.Member, v *follower.Version, t *tally, ask bool) {
	if ask {
		var status FloorStatus
		err := r.options.Caller.Call(ctx, m.Peer, "Relayer.Floor", &Floor{Format: Format}, &status, callTimeout)
		if err != nil || status.check() != nil {
			return
		}
		t.set(m.Name, status.Known, status.Active)
		if status.Known >= v.View.Version {
			return
		}
	}
	offer := &Offer{
		Format: Format, From: r.options.Peer, Version: v.View.Version, Digest: v.View.Digest, Base: v.Base,
	}
	if len(v.Delta) <= inlineDelta {
		offer.Delta = v.Delta
	}
	var status Status
	err := r.options.Caller.Call(ctx, m.Peer, "Relayer.Offer", offer, &status, callTimeout)
	if err == nil && messenger.CheckFormat("offer", status.Format, Format) == nil {
		t.set(m.Name, status.Known, status.Active)
	}
}

func (r *Relayer) commit(ctx context.Context, m tracker.Member, v *follower.Version, t *tally) {
	if known, active := t.get(m.Name); known < v.View.Version || active >= v.View.Version {
		return
	}
	commit := &Commit{Format: Format, From: r.options.Peer, Version: v.View.Version, Digest: v.View.Digest}
	var status Status
	err := r.options.Caller.Call(ctx, m.Peer, "Relayer.Commit", commit, &status, callTimeout)
	if err == nil && messenger.CheckFormat("commit", status.Format, Format) == nil {
		t.set(m.Name, status.Known, status.Active)
	}
}

// tryCommit puts the version in force here if the majority rule allows, and reports whether it is in force.
func (r *Relayer) tryCommit(version uint64, t *tally) bool {
	if r.options.Follower.ActiveVersion() >= version {
		return true
	}
	if !r.settled() {
		return false
	}
	allowed := majority(r.options.Members.Zone(r.options.Zone), func(name string) bool {
		known, _ := t.get(name)
		return known >= version || name == r.options.Name
	})
	return (allowed || r.off.majority) && r.options.Follower.Commit(version)
}

// settled reports whether the list of members can be relied on: the node has found another one, or has looked for
// long enough. A node that knows only itself would otherwise be its own majority.
func (r *Relayer) settled() bool {
	return r.options.Members.Joined() || r.options.Clock.Now()-r.started >= joinPatience
}

// finished reports whether the version is in force at all live members.
func (r *Relayer) finished(version uint64, t *tally) bool {
	for _, m := range r.targets() {
		if _, active := t.get(m.Name); active < version {
			return false
		}
	}
	return r.options.Follower.ActiveVersion() >= version
}

// commitLate spreads a prepared version that the relays have not committed in time, and returns when ctx ends.
func (r *Relayer) commitLate(ctx context.Context) {
	var version uint64
	patience := r.jitter(commitPatience)
	for connector.Sleep(ctx, pollSpan) == nil {
		pending := r.options.Follower.Pending()
		if pending == nil || r.off.selfCommit {
			continue
		}
		if pending.View.Version != version {
			version, patience = pending.View.Version, r.jitter(commitPatience)
		}
		if r.options.Clock.Now()-pending.Prepared >= commitPatience+patience {
			r.spawnSpread(version, true)
		}
	}
}
