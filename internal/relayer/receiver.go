package relayer

import (
	"context"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/follower"
	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Receiver holds the methods that other nodes call, for messenger.Server.Register under the name "Relayer". A
// malformed message gets a numbered error and changes nothing.
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
	ctx, cancel := c.relayer.within(obtainTimeout)
	defer cancel()
	wanted := target{version: offer.Version, digest: offer.Digest, base: offer.Base, delta: offer.Delta}
	if err := c.relayer.obtain(ctx, wanted, offer.From); err != nil {
		return err
	}
	*reply = c.relayer.status()
	return nil
}

// Commit puts a version in force, which it first fetches if it is not prepared.
func (c *Receiver) Commit(commit *Commit, reply *Status) error {
	if err := commit.check(); err != nil {
		return err
	}
	f := c.relayer.options.Follower
	if v := f.Version(commit.Version); v != nil && v.View.Digest != commit.Digest {
		return classifier.New(classifier.CodeViewDigest, "commit", "version %d is held with another digest", commit.Version)
	}
	ctx, cancel := c.relayer.within(obtainTimeout)
	defer cancel()
	if err := c.relayer.obtain(ctx, target{version: commit.Version, digest: commit.Digest}, commit.From); err != nil {
		return err
	}
	f.Commit(commit.Version)
	*reply = c.relayer.status()
	return nil
}

// Floor replies with the versions of this node and, if asked, the members that it lists.
func (c *Receiver) Floor(asked *Floor, reply *FloorStatus) error {
	if err := messenger.CheckFormat("floor", asked.Format, Format); err != nil {
		return err
	}
	o := &c.relayer.options
	*reply = FloorStatus{
		Format: Format, Known: o.Follower.Known(), Active: o.Follower.ActiveVersion(), Ready: o.Follower.Ready(),
	}
	if asked.Listed {
		for _, m := range listed(o.Members.Zone(o.Zone)) {
			reply.Listed = append(reply.Listed, hash(m.Name))
		}
	}
	return nil
}

// Fetch replies with sections, or with the delta or manifest of a version.
func (c *Receiver) Fetch(asked *Fetch, reply *Fetched) error {
	if err := asked.check(); err != nil {
		return err
	}
	f := c.relayer.options.Follower
	*reply = Fetched{Format: Format, Active: f.ActiveVersion()}
	if len(asked.Digests) > 0 {
		reply.Bodies = bodies(f, asked.Digests)
		return nil
	}
	version := asked.Version
	if version == 0 {
		version = reply.Active
	}
	v := f.Version(version)
	if v == nil {
		return classifier.New(classifier.CodeVersionMissing, "fetch", "version %d is not kept", version)
	}
	reply.Version, reply.Digest = version, v.View.Digest
	if len(v.Delta) > 0 && asked.Base != 0 && asked.Base == v.Base {
		reply.Base, reply.Delta = v.Base, v.Delta
		return nil
	}
	manifest, err := v.Manifest()
	reply.Manifest = manifest
	return err
}

// bodies returns the sections held, up to the limit on one reply.
func bodies(f *follower.Follower, digests []string) [][]byte {
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

// within returns a context for work that a message began; it ends with Run.
func (r *Relayer) within(span timekeeper.Millis) (context.Context, context.CancelFunc) {
	r.mutex.Lock()
	parent := r.ctx
	r.mutex.Unlock()
	if parent == nil {
		parent = context.Background()
	}
	return context.WithTimeout(parent, span.Duration())
}
