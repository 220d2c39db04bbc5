package relayer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

const (
	// sourceCount is how many other members are asked for a section before the platform is.
	sourceCount = 3
	// platformJitter spreads the members that found a section at no other one. After it they ask other members again
	// before the platform: when many nodes restart together, the first ones asked may have nothing yet.
	platformJitter = 500 * timekeeper.Millis(1)
)

// target is a version to prepare. Manifest and delta may be missing.
type target struct {
	version  uint64
	digest   string
	manifest []compiler.Entry
	base     uint64
	delta    []byte
	direct   bool // sections come from the platform at once, because the version is too new for other nodes
}

// obtain prepares a version: by its delta if that fits, otherwise from sections. Source is the peer address of a node
// that has the version, or empty. A second call waits for the first, but not longer than obtainPatience.
func (r *Relayer) obtain(ctx context.Context, t target, source string) error {
	if r.held(t.version) {
		return nil
	}
	timer := time.NewTimer(timekeeper.Millis(obtainPatience).Duration())
	defer timer.Stop()
	select {
	case r.turn <- struct{}{}:
		defer func() { <-r.turn }()
	case <-timer.C:
	case <-ctx.Done():
		return classifier.Wrap(classifier.CodePeerTimeout, "version", ctx.Err())
	}
	if r.held(t.version) || r.patch(&t) {
		return nil
	}
	if t.manifest == nil {
		if err := r.complete(ctx, &t, source); err != nil {
			return err
		}
		if r.patch(&t) {
			return nil
		}
	}
	if r.off.sections && len(t.delta) > 0 {
		return classifier.New(classifier.CodeViewDigest, "version", "delta of version %d does not fit", t.version)
	}
	if err := r.manifest(ctx, &t, source); err != nil {
		return err
	}
	bodies, err := r.collect(ctx, &t, source)
	if err != nil {
		return err
	}
	return r.options.Follower.Prepare(t.version, t.digest, t.manifest, bodies)
}

// held reports whether a version is prepared here, or no longer needed.
func (r *Relayer) held(version uint64) bool {
	return r.options.Follower.Version(version) != nil || r.options.Follower.ActiveVersion() >= version
}

// patch prepares the version by its delta and reports whether that worked.
func (r *Relayer) patch(t *target) bool {
	if len(t.delta) == 0 {
		return false
	}
	err := r.options.Follower.Apply(t.version, t.digest, t.base, t.delta)
	if err != nil {
		r.options.Logger.Info("relayer: delta does not fit, fetching sections", zap.Uint64("version", t.version),
			zap.Error(err))
	}
	return err == nil
}

// complete fetches the delta from the source if the offer came without one, or the manifest if that does not help.
func (r *Relayer) complete(ctx context.Context, t *target, source string) error {
	if len(t.delta) > 0 || source == "" {
		return nil
	}
	reply, err := r.fetch(ctx, source, &Fetch{
		Format: Format, Version: t.version, Base: r.options.Follower.ActiveVersion(),
	})
	if err != nil {
		return err
	}
	t.base, t.delta = reply.Base, reply.Delta
	return t.take(reply)
}

// manifest fetches the manifest of the version from the source unless it is here.
func (r *Relayer) manifest(ctx context.Context, t *target, source string) error {
	if t.manifest != nil {
		return nil
	}
	if source == "" {
		return classifier.New(classifier.CodeVersionMissing, "version", "no node to fetch version %d from", t.version)
	}
	reply, err := r.fetch(ctx, source, &Fetch{Format: Format, Version: t.version})
	if err != nil {
		return err
	}
	if len(reply.Manifest) == 0 && t.digest != compiler.ManifestDigest(nil) {
		return classifier.New(classifier.CodeVersionMissing, "version", "source has no manifest of version %d", t.version)
	}
	return t.take(reply)
}

// take checks the manifest of a reply against the digest of the version and keeps it.
func (t *target) take(reply *Fetched) error {
	if len(reply.Manifest) == 0 {
		return nil
	}
	if compiler.ManifestDigest(reply.Manifest) != t.digest {
		return classifier.New(classifier.CodeViewDigest, "version", "manifest of version %d does not match", t.version)
	}
	t.manifest = reply.Manifest
	return nil
}

func (r *Relayer) fetch(ctx context.Context, address string, asked *Fetch) (*Fetched, error) {
	var reply Fetched
	if err := r.options.Caller.Call(ctx, address, "Relayer.Fetch", asked, &reply, fetchTimeout); err != nil {
		return nil, err
	}
	return &reply, reply.check(asked)
}

// collect returns the sections of a manifest: those held here, then those of the source and other members, then
// those of the platform.
func (r *Relayer) collect(ctx context.Context, t *target, source string) (map[string][]byte, error) {
	bodies := make(map[string][]byte, len(t.manifest))
	var missing []string
	for _, entry := range t.manifest {
		if body := r.options.Follower.Body(entry.Digest); body != nil {
			bodies[entry.Digest] = body
		} else {
			missing = append(missing, entry.Digest)
		}
	}
	if !t.direct {
		missing = r.collectFromMembers(ctx, source, missing, bodies)
	}
	for _, digest := range missing {
		object, err := r.options.Platform.Get(ctx, connector.KindSection, digest)
		if err != nil {
			return nil, err
		}
		bodies[digest] = object.Value
	}
	return bodies, nil
}

// collectFromMembers asks the source and other members, and some again after a while, and returns the sections that
// are still missing.
func (r *Relayer) collectFromMembers(
	ctx context.Context, source string, missing []string, bodies map[string][]byte,
) []string {
	for attempt := range 2 {
		if attempt > 0 && len(missing) > 0 {
			_ = connector.Sleep(ctx, r.jitter(platformJitter))
		}
		for _, address := range r.sources(source) {
			if len(missing) == 0 {
				return nil
			}
			missing = r.collectFrom(ctx, address, missing, bodies)
		}
	}
	return missing
}

// collectFrom fetches sections from one node and returns those still missing.
func (r *Relayer) collectFrom(
	ctx context.Context, address string, missing []string, bodies map[string][]byte,
) []string {
	for len(missing) > 0 {
		asked := &Fetch{Format: Format, Digests: missing[:min(len(missing), maxDigests)]}
		reply, err := r.fetch(ctx, address, asked)
		if err != nil {
			return missing
		}
		var rest []string
		for i, digest := range asked.Digests {
			if len(reply.Bodies[i]) > 0 && compiler.DigestOf(reply.Bodies[i]) == digest {
				bodies[digest] = reply.Bodies[i]
			} else {
				rest = append(rest, digest)
			}
		}
		if len(rest) == len(asked.Digests) {
			return missing
		}
		missing = append(rest, missing[len(asked.Digests):]...)
	}
	return missing
}

// sources returns the source and random live members of the own data centre, those with a version first.
func (r *Relayer) sources(source string) []string {
	var addresses []string
	if source != "" {
		addresses = append(addresses, source)
	}
	var others []tracker.Member
	for _, m := range r.options.Members.Zone(r.options.Zone) {
		if m.Name != r.options.Name && m.Health == tracker.HealthAlive && m.Known > 0 && m.Peer != source {
			others = append(others, m)
		}
	}
	r.mutex.Lock()
	r.random.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	r.mutex.Unlock()
	for _, m := range others[:min(sourceCount, len(others))] {
		addresses = append(addresses, m.Peer)
	}
	return addresses
}
