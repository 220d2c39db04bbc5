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

// inlineDelta is the largest delta, in bytes, that an offer carries. Both relays offer each version to each member, so
// a larger delta is fetched instead and sent only once.
const inlineDelta = 1 << 10

// progress records the versions of the members while a version is distributed.
type progress struct {
	mutex             sync.Mutex
	known             map[string]uint64
	active            map[string]uint64
	commitRestStarted atomic.Bool // commitRest starts at the majority, with other offers still in flight
}

func (p *progress) set(name string, known, active uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.known[name], p.active[name] = max(p.known[name], known), max(p.active[name], active)
}

func (p *progress) get(name string) (known, active uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.known[name], p.active[name]
}

func (p *progress) copyKnown() map[string]uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	known := make(map[string]uint64, len(p.known))
	for name, version := range p.known {
		known[name] = version
	}
	return known
}

// startDistribution starts to distribute a version unless that is in progress. With askFirst, members are asked for
// their versions first, and only those that lack the version get an offer.
func (r *Relayer) startDistribution(version uint64, askFirst bool) {
	r.mutex.Lock()
	running := r.distributing[version]
	r.distributing[version] = true
	r.mutex.Unlock()
	if running {
		return
	}
	r.spawn(func(ctx context.Context) {
		r.distribute(ctx, version, askFirst)
		r.mutex.Lock()
		delete(r.distributing, version)
		r.mutex.Unlock()
	})
}

// distribute offers a prepared version to the members of the data centre, activates it once the majority rule allows,
// and commits it on the members. It retries members that do not reply until distributeTimeout; later they catch up
// through pings.
func (r *Relayer) distribute(ctx context.Context, version uint64, askFirst bool) {
	v := r.options.Follower.Version(version)
	if v == nil {
		return
	}
	p := &progress{known: make(map[string]uint64), active: make(map[string]uint64)}
	wait := timekeeper.Millis(retryInterval)
	for end := r.options.Clock.Now() + distributeTimeout; ctx.Err() == nil && r.options.Clock.Now() < end; {
		if r.offerRound(ctx, v, p, askFirst) && (askFirst || r.options.Follower.Known() > version) {
			break
		}
		if r.activeEverywhere(version, p) {
			break
		}
		_ = connector.Sleep(ctx, wait+r.jitter(wait/2))
		wait = min(2*wait, maxRetryInterval)
	}
	r.options.Members.Observe(p.copyKnown())
}

// offerRound offers the version once to the members that are not known to have it, commits it if allowed, and reports
// whether it is active on this node.
func (r *Relayer) offerRound(ctx context.Context, v *follower.Version, p *progress, askFirst bool) bool {
	first, second := r.splitMembers(askFirst)
	done := make(chan struct{})
	go func() {
		r.offerAll(ctx, first, v, p, false)
		close(done)
	}()
	timer := time.NewTimer(timekeeper.Millis(secondHalfDelay).Duration())
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
	r.offerAll(ctx, second, v, p, true)
	<-done
	committed := r.tryCommit(v.View.Version, p)
	if committed {
		r.commitRest(ctx, v, p)
	}
	return committed
}

// splitMembers splits the members into those that this relay offers to at once and those that it first asks for their
// version, because the other relay has probably offered to them. A node that is not a relay asks all members.
func (r *Relayer) splitMembers(askFirst bool) (first, second []tracker.Member) {
	rank := slices.IndexFunc(r.options.Members.Relays(r.options.Zone), func(m tracker.Member) bool {
		return m.Name == r.options.Name
	})
	for _, m := range r.otherLiveMembers() {
		if !askFirst && rank >= 0 && hash(m.Name)%2 == uint64(rank%2) {
			first = append(first, m)
		} else {
			second = append(second, m)
		}
	}
	return first, second
}

// offerAll offers the version to the members that are not known to have it, and commits it as soon as the majority rule
// allows.
func (r *Relayer) offerAll(
	ctx context.Context, members []tracker.Member, v *follower.Version, p *progress, askFirst bool,
) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, m := range members {
		group.Go(func() error {
			if known, _ := p.get(m.Name); known < v.View.Version {
				r.offer(ctx, m, v, p, askFirst)
			}
			if r.tryCommit(v.View.Version, p) {
				if !p.commitRestStarted.Swap(true) {
					r.commitRest(ctx, v, p)
				}
				r.commit(ctx, m, v, p)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// commitRest commits the version on the members that accepted the offer before the majority was reached.
func (r *Relayer) commitRest(ctx context.Context, v *follower.Version, p *progress) {
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, m := range r.otherLiveMembers() {
		group.Go(func() error {
			r.commit(ctx, m, v, p)
			return nil
		})
	}
	_ = group.Wait()
}

// otherLiveMembers returns the other live members of the data centre, starting at a random one.
func (r *Relayer) otherLiveMembers() []tracker.Member {
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

func (r *Relayer) offer(ctx context.Context, m tracker.Member, v *follower.Version, p *progress, askFirst bool) {
	if askFirst {
		var status FloorStatus
		err := r.options.Caller.Call(ctx, m.Peer, "Relayer.Floor", &Floor{Format: Format}, &status, callTimeout)
		if err != nil || status.check() != nil {
			return
		}
		p.set(m.Name, status.Known, status.Active)
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
		p.set(m.Name, status.Known, status.Active)
	}
}

func (r *Relayer) commit(ctx context.Context, m tracker.Member, v *follower.Version, p *progress) {
	if known, active := p.get(m.Name); known < v.View.Version || active >= v.View.Version {
		return
	}
	commit := &Commit{Format: Format, From: r.options.Peer, Version: v.View.Version, Digest: v.View.Digest}
	var status Status
	err := r.options.Caller.Call(ctx, m.Peer, "Relayer.Commit", commit, &status, callTimeout)
	if err == nil && messenger.CheckFormat("commit", status.Format, Format) == nil {
		p.set(m.Name, status.Known, status.Active)
	}
}

// tryCommit activates the version on this node if the majority rule allows, and reports whether it is active.
func (r *Relayer) tryCommit(version uint64, p *progress) bool {
	if r.options.Follower.ActiveVersion() >= version {
		return true
	}
	if !r.membershipReliable() {
		return false
	}
	allowed := hasMajority(r.options.Members.Zone(r.options.Zone), func(name string) bool {
		known, _ := p.get(name)
		return known >= version || name == r.options.Name
	})
	return (allowed || r.disabled.majority) && r.options.Follower.Commit(version)
}

// membershipReliable reports whether the list of members is reliable: the node has joined the mesh or has tried for
// joinTimeout. Otherwise a node that knows only itself would be its own majority.
func (r *Relayer) membershipReliable() bool {
	return r.options.Members.Joined() || r.options.Clock.Now()-r.started >= joinTimeout
}

// activeEverywhere reports whether the version is active on this node and on all other live members.
func (r *Relayer) activeEverywhere(version uint64, p *progress) bool {
	for _, m := range r.otherLiveMembers() {
		if _, active := p.get(m.Name); active < version {
			return false
		}
	}
	return r.options.Follower.ActiveVersion() >= version
}

// distributeUncommitted distributes a prepared version that no relay has committed within commitTimeout, because the
// relays may have failed. The jitter prevents all members from doing so at once. It returns when ctx ends.
func (r *Relayer) distributeUncommitted(ctx context.Context) {
	var version uint64
	commitJitter := r.jitter(commitTimeout)
	for connector.Sleep(ctx, pollInterval) == nil {
		pending := r.options.Follower.Pending()
		if pending == nil || r.disabled.selfCommit {
			continue
		}
		if pending.View.Version != version {
			version, commitJitter = pending.View.Version, r.jitter(commitTimeout)
		}
		if r.options.Clock.Now()-pending.PreparedAt >= commitTimeout+commitJitter {
			r.startDistribution(version, true)
		}
	}
}
