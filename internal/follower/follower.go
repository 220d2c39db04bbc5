// Package follower stores the configuration versions of one node: the active view and the versions prepared to replace
// it.
package follower

import (
	"slices"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// keptVersions is the number of versions up to the active one that are kept as bases of deltas and for other nodes to
// fetch. A few suffice: a node that lags further behind fetches sections by digest.
const keptVersions = 4

// Options are the dependencies of a Follower.
type Options struct {
	Clock  timekeeper.Clock
	Logger *zap.Logger // nil disables logging
}

// Follower manages the configuration versions of one node. It is safe for concurrent use; Active takes no lock.
type Follower struct {
	options        Options
	active         atomic.Pointer[compiler.View]
	mutex          sync.Mutex
	versions       map[uint64]*Version
	known          uint64
	floor          uint64
	floorConfirmed bool
	ready          atomic.Bool
	allowOlder     bool // allows the activation of an older version; only tests set it
	assemble       func(uint64, []compiler.Entry, map[string][]byte) (compiler.View, error)
}

// New returns a follower without a version.
func New(options Options) *Follower {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	return &Follower{options: options, versions: make(map[uint64]*Version), assemble: compiler.Assemble}
}

// Active returns the active view, or nil if there is none yet.
func (f *Follower) Active() *compiler.View {
	return f.active.Load()
}

// ActiveVersion returns the active version, or 0 if there is none yet.
func (f *Follower) ActiveVersion() uint64 {
	if view := f.active.Load(); view != nil {
		return view.Version
	}
	return 0
}

// Known returns the highest version that this process has verified completely.
func (f *Follower) Known() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.known
}

// Floor returns the lowest version with which the node may serve requests.
func (f *Follower) Floor() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.floor
}

// Ready reports whether the node may serve requests: a version at or above the confirmed floor was activated.
func (f *Follower) Ready() bool {
	return f.ready.Load()
}

// ConfirmFloor sets the floor, which comes from reading the head or from a majority of the members. The node becomes
// ready once a version at or above the floor is active. A floor below an earlier one is ignored.
func (f *Follower) ConfirmFloor(floor uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.floorConfirmed = true
	f.floor = max(f.floor, floor)
	f.updateReady()
}

// updateReady sets ready if its conditions are met. The caller holds the mutex.
func (f *Follower) updateReady() {
	if view := f.active.Load(); f.floorConfirmed && !f.ready.Load() && view != nil && view.Version >= f.floor {
		f.ready.Store(true)
		f.options.Logger.Info("follower: node is ready", zap.Uint64("version", view.Version), zap.Uint64("floor", f.floor))
	}
}

// Apply prepares a version from a delta. It fails with CodeVersionMissing if the base version is not kept, and with
// CodeViewDigest if the delta is damaged; the state is then unchanged.
func (f *Follower) Apply(version uint64, digest string, base uint64, delta []byte) error {
	f.mutex.Lock()
	baseVersion := f.versions[base]
	f.mutex.Unlock()
	if baseVersion == nil {
		return classifier.New(classifier.CodeVersionMissing, "delta", "base version %d is not kept", base)
	}
	view, err := compiler.Apply(baseVersion.View, delta)
	if err != nil {
		return err
	}
	return f.store(version, digest, &view, base, delta)
}

// Prepare prepares a version from its sections. It fails with CodeObjectMissing if a section is missing, and with
// CodeViewDigest if a section is damaged; the state is then unchanged.
func (f *Follower) Prepare(version uint64, digest string, manifest []compiler.Entry, bodies map[string][]byte) error {
	view, err := f.assemble(version, manifest, bodies)
	if err != nil {
		return err
	}
	return f.store(version, digest, &view, 0, nil)
}

func (f *Follower) store(version uint64, digest string, view *compiler.View, base uint64, delta []byte) error {
	if version == 0 || view.Version != version || view.Digest != digest {
		return classifier.New(classifier.CodeViewDigest, "version",
			"version %d with digest %.16s was announced as version %d with digest %.16s",
			view.Version, view.Digest, version, digest)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if existing := f.versions[version]; existing != nil {
		if existing.View.Digest != digest {
			return classifier.New(classifier.CodeViewDigest, "version",
				"version %d is already stored with digest %.16s, not %.16s", version, existing.View.Digest, digest)
		}
		return nil
	}
	f.versions[version] = newVersion(view, f.options.Clock.Now(), base, delta)
	f.known = max(f.known, version)
	f.prune()
	return nil
}

// Commit activates a prepared version if it is above the active version, and reports whether the active version is now
// at or above it. The whole view is replaced atomically.
func (f *Follower) Commit(version uint64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	view := f.active.Load()
	if view != nil && view.Version >= version && !f.allowOlder {
		return true
	}
	next := f.versions[version]
	if next == nil {
		return false
	}
	f.active.Store(next.View)
	f.options.Logger.Info("follower: version is in force", zap.Uint64("version", version),
		zap.String("digest", next.View.Digest))
	f.updateReady()
	f.prune()
	return true
}

// prune deletes versions up to the active one except the last keptVersions. The caller holds the mutex.
func (f *Follower) prune() {
	view := f.active.Load()
	if view == nil || f.allowOlder {
		return
	}
	var oldVersions []uint64
	for version := range f.versions {
		if version <= view.Version {
			oldVersions = append(oldVersions, version)
		}
	}
	slices.Sort(oldVersions)
	for i := range len(oldVersions) - keptVersions {
		delete(f.versions, oldVersions[i])
	}
}

// Pending returns the highest prepared version above the active one, or nil.
func (f *Follower) Pending() *Version {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	view := f.active.Load()
	if view != nil && view.Version >= f.known {
		return nil
	}
	return f.versions[f.known]
}

// Version returns a prepared or kept version, or nil.
func (f *Follower) Version(version uint64) *Version {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.versions[version]
}

// Body returns the section with the given digest from any stored version, or nil.
func (f *Follower) Body(digest string) []byte {
	f.mutex.Lock()
	stored := make([]*Version, 0, len(f.versions))
	for _, v := range f.versions {
		stored = append(stored, v)
	}
	f.mutex.Unlock()
	for _, v := range stored {
		if body := v.Body(digest); body != nil {
			return body
		}
	}
	return nil
}
