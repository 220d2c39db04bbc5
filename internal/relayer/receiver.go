package relayer

import (
	"context"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/follower"
	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Receiver holds the methods that other nodes call, for messenger.Server.Register under the name "Relayer". A malformed
// message is refused with a result code and changes nothing.
type Receiver struct {
	relayer *Relayer
}

// Receiver returns the methods that other nodes call.
func (r *Relayer) Receiver() any {
	return &Receiver{relayer: r}
}

// Offer prepares a version and replies with the versions of this node.
func (c *Receiver) Offer(offer *Offer, reply *Status) error {
	if err := offer.check(); err != nil {
		return err
	}
	ctx, cancel := c.relayer.withTimeout(obtainTimeout)
	defer cancel()
	wanted := target{version: offer.Version, digest: offer.Digest, base: offer.Base, delta: offer.Delta}
	if err := c.relayer.obtain(ctx, wanted, offer.From); err != nil {
		return err
	}
	*reply = c.relayer.status()
	return nil
}

// Commit activates a version. If the version is not prepared, Commit fetches it first.
func (c *Receiver) Commit(commit *Commit, reply *Status) error {
	if err := commit.check(); err != nil {
		return err
	}
	f := c.relayer.options.Follower
	if v := f.Version(commit.Version); v != nil && v.View.Digest != commit.Digest {
		return classifier.New(classifier.CodeViewDigest, "commit", "version %d exists with another digest", commit.Version)
	}
	ctx, cancel := c.relayer.withTimeout(obtainTimeout)
	defer cancel()
	if err := c.relayer.obtain(ctx, target{version: commit.Version, digest: commit.Digest}, commit.From); err != nil {
		return err
	}
	f.Commit(commit.Version)
	*reply = c.relayer.status()
	return nil
}

// Floor replies with the versions of this node and, if asked, the members that it lists.
func (c *Receiver) Floor(request *Floor, reply *FloorStatus) error {
	if err := messenger.CheckFormat("floor", request.Format, Format); err != nil {
		return err
	}
	o := &c.relayer.options
	*reply = FloorStatus{
		Format: Format, Known: o.Follower.Known(), Active: o.Follower.ActiveVersion(), Ready: o.Follower.Ready(),
	}
	if request.Listed {
		for _, m := range votingMembers(o.Members.Zone(o.Zone)) {
			reply.Listed = append(reply.Listed, hash(m.Name))
		}
	}
	return nil
}

// Fetch replies with sections, or with the delta or manifest of a version.
func (c *Receiver) Fetch(request *Fetch, reply *Fetched) error {
	if err := request.check(); err != nil {
		return err
	}
	f := c.relayer.options.Follower
	*reply = Fetched{Format: Format, Active: f.ActiveVersion()}
	if len(request.Digests) > 0 {
		reply.Bodies = findBodies(f, request.Digests)
		return nil
	}
	version := request.Version
	if version == 0 {
		version = reply.Active
	}
	v := f.Version(version)
	if v == nil {
		return classifier.New(classifier.CodeVersionMissing, "fetch", "version %d is not kept", version)
	}
	reply.Version, reply.Digest = version, v.View.Digest
	if len(v.Delta) > 0 && request.Base != 0 && request.Base == v.Base {
		reply.Base, reply.Delta = v.Base, v.Delta
		return nil
	}
	manifest, err := v.Manifest()
	reply.Manifest = manifest
	return err
}

// findBodies returns the sections that this node has, up to the size limit of one reply.
func findBodies(f *follower.Follower, digests []string) [][]byte {
	found := make([][]byte, len(digests))
	size := 0
	for i, digest := range digests {
		body := f.Body(digest)
		if size > 0 && size+len(body) > maxFetched {
			continue
		}
		size += len(body)
		found[i] = body
	}
	return found
}

func (r *Relayer) status() Status {
	f := r.options.Follower
	return Status{Format: Format, Known: f.Known(), Active: f.ActiveVersion()}
}

// withTimeout returns a context for the work on a message; it ends with Run at the latest.
func (r *Relayer) withTimeout(timeout timekeeper.Millis) (context.Context, context.CancelFunc) {
	r.mutex.Lock()
	parent := r.ctx
	r.mutex.Unlock()
	if parent == nil {
		parent = context.Background()
	}
	return context.WithTimeout(parent, timeout.Duration())
}
