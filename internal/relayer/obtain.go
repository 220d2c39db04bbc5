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
	// otherSourceCount is how many other members are asked for a section before the platform.
	otherSourceCount = 3
	// memberRetryJitter bounds the random wait before a node asks other members a second time for the sections that
	// are still missing. Only then does it ask the platform: when many nodes restart together, the members asked first
	// may have no version yet.
	memberRetryJitter = 500 * timekeeper.Millis(1)
)

// target is a version to prepare. Manifest and delta may be missing.
type target struct {
	version      uint64
	digest       string
	manifest     []compiler.Entry
	base         uint64
	delta        []byte
	fromPlatform bool // sections come from the platform, because the version is too new for other nodes
}

// obtain prepares a version: from its delta if that applies, otherwise from sections. Source is the peer address of a
// node that has the version, or empty. A second call waits for the first, but no longer than obtainLockTimeout.
func (r *Relayer) obtain(ctx context.Context, t target, source string) error {
	if r.obtained(t.version) {
		return nil
	}
	timer := time.NewTimer(timekeeper.Millis(obtainLockTimeout).Duration())
	defer timer.Stop()
	select {
	case r.obtainLock <- struct{}{}:
		defer func() { <-r.obtainLock }()
	case <-timer.C:
	case <-ctx.Done():
		return classifier.Wrap(classifier.CodePeerTimeout, "version", ctx.Err())
	}
	if r.obtained(t.version) || r.applyDelta(&t) {
		return nil
	}
	if t.manifest == nil {
		if err := r.fetchDelta(ctx, &t, source); err != nil {
			return err
		}
		if r.applyDelta(&t) {
			return nil
		}
	}
	if r.disabled.sections && len(t.delta) > 0 {
		return classifier.New(classifier.CodeViewDigest, "version", "delta of version %d does not fit", t.version)
	}
	if err := r.fetchManifest(ctx, &t, source); err != nil {
		return err
	}
	bodies, err := r.collectSections(ctx, &t, source)
	if err != nil || r.obtained(t.version) {
		return err
	}
	return r.options.Follower.Prepare(t.version, t.digest, t.manifest, bodies)
}

// obtained reports whether a version is prepared on this node, or not newer than the active one.
func (r *Relayer) obtained(version uint64) bool {
	return r.options.Follower.Version(version) != nil || r.options.Follower.ActiveVersion() >= version
}

// applyDelta prepares the version from its delta and reports whether that succeeded.
func (r *Relayer) applyDelta(t *target) bool {
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

// fetchDelta fetches the delta from the source if the offer came without one. A source without a delta from the active
// version replies with the manifest.
func (r *Relayer) fetchDelta(ctx context.Context, t *target, source string) error {
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
	return t.setManifest(reply)
}

// fetchManifest fetches the manifest of the version from the source unless the target has it.
func (r *Relayer) fetchManifest(ctx context.Context, t *target, source string) error {
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
	return t.setManifest(reply)
}

// setManifest stores the manifest of a reply. It fails with CodeViewDigest if the manifest does not match the digest of
// the version.
func (t *target) setManifest(reply *Fetched) error {
	if len(reply.Manifest) == 0 {
		return nil
	}
	if compiler.ManifestDigest(reply.Manifest) != t.digest {
		return classifier.New(classifier.CodeViewDigest, "version", "manifest of version %d does not match", t.version)
	}
	t.manifest = reply.Manifest
	return nil
}

func (r *Relayer) fetch(ctx context.Context, address string, request *Fetch) (*Fetched, error) {
	var reply Fetched
	if err := r.options.Caller.Call(ctx, address, "Relayer.Fetch", request, &reply, fetchTimeout); err != nil {
		return nil, err
	}
	return &reply, reply.check(request)
}

// collectSections returns the sections of a manifest: those on this node, then those of the source and other members,
// then those of the platform. It stops early once the version is obtained in another way.
func (r *Relayer) collectSections(ctx context.Context, t *target, source string) (map[string][]byte, error) {
	bodies := make(map[string][]byte, len(t.manifest))
	var missing []string
	for _, entry := range t.manifest {
		if body := r.options.Follower.Body(entry.Digest); body != nil {
			bodies[entry.Digest] = body
		} else {
			missing = append(missing, entry.Digest)
		}
	}
	if !t.fromPlatform {
		missing = r.collectFromMembers(ctx, source, missing, bodies)
	}
	if r.obtained(t.version) { // from an offer in the meantime
		return bodies, nil
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

// collectFromMembers asks the source and other members for sections, a second time after a random wait, and returns the
// digests that are still missing.
func (r *Relayer) collectFromMembers(
	ctx context.Context, source string, missing []string, bodies map[string][]byte,
) []string {
	for attempt := range 2 {
		if attempt > 0 && len(missing) > 0 {
			_ = connector.Sleep(ctx, r.jitter(memberRetryJitter))
		}
		for _, address := range r.sourceAddresses(source) {
			if len(missing) == 0 {
				return nil
			}
			missing = r.collectFrom(ctx, address, missing, bodies)
		}
	}
	return missing
}

// collectFrom fetches sections from one node and returns the digests that are still missing.
func (r *Relayer) collectFrom(
	ctx context.Context, address string, missing []string, bodies map[string][]byte,
) []string {
	for len(missing) > 0 {
		request := &Fetch{Format: Format, Digests: missing[:min(len(missing), maxDigests)]}
		reply, err := r.fetch(ctx, address, request)
		if err != nil {
			return missing
		}
		var remaining []string
		for i, digest := range request.Digests {
			if len(reply.Bodies[i]) > 0 && compiler.DigestOf(reply.Bodies[i]) == digest {
				bodies[digest] = reply.Bodies[i]
			} else {
				remaining = append(remaining, digest)
			}
		}
		if len(remaining) == len(request.Digests) {
			return missing
		}
		missing = append(remaining, missing[len(request.Digests):]...)
	}
	return missing
}

// sourceAddresses returns the source, followed by random live members of the own data centre that have a version.
func (r *Relayer) sourceAddresses(source string) []string {
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
	for _, m := range others[:min(otherSourceCount, len(others))] {
		addresses = append(addresses, m.Peer)
	}
	return addresses
}
