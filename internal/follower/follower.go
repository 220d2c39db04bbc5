// Package follower holds the configuration versions of one node: the view in force and those prepared to follow it.
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

// keep is the number of versions up to the active one that stay as bases of deltas and for other nodes to fetch.
// More than a few are of no use: a node that is further behind fetches sections by digest.
const keep = 4

// Options are the parts of a Follower.
type Options struct {
	Clock  timekeeper.Clock
	Logger *zap.Logger // nil logs nothing
}

// Follower is the version state of one node. It is safe for concurrent use; Active takes no lock.
type Follower struct {
	options  Options
	active   atomic.Pointer[compiler.View]
	mutex    sync.Mutex
	versions map[uint64]*Version
	known    uint64
	floor    uint64
	confirm  bool
	ready    atomic.Bool
	backward bool // lets an older version be activated; only tests set it
	assemble func(uint64, []compiler.Entry, map[string][]byte) (compiler.View, error)
}

// New returns a follower without a version.
func New(options Options) *Follower {
	if options.Logger == nil {
		options.Logger = zap.NewNop()
	}
	return &Follower{options: options, versions: make(map[uint64]*Version), assemble: compiler.Assemble}
}

// Active returns the view in force, or nil before the first.
func (f *Follower) Active() *compiler.View {
	return f.active.Load()
}

// ActiveVersion returns the version in force, or 0 before the first.
func (f *Follower) ActiveVersion() uint64 {
	if view := f.active.Load(); view != nil {
		return view.Version
	}
	return 0
}

// Known returns the highest version that this process has completely verified.
func (f *Follower) Known() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.known
}

// Floor returns the version below which the node must not serve.
func (f *Follower) Floor() uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.floor
}

// Ready reports whether the node may serve: a version at or above the confirmed floor is in force.
func (f *Follower) Ready() bool {
	return f.ready.Load()
}

// ConfirmFloor sets the floor, found by reading the head or from a majority of the members. The node becomes ready once
// a version at or above it is in force. A lower floor than an earlier one is ignored.
func (f *Follower) ConfirmFloor(floor uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.confirm = true
	f.floor = max(f.floor, floor)
	f.check()
}

// check sets ready. The caller holds the mutex.
func (f *Follower) check() {
	if view := f.active.Load(); f.confirm && !f.ready.Load() && view != nil && view.Version >= f.floor {
		f.ready.Store(true)
		f.options.Logger.Info("follower: node is ready", zap.Uint64("version", view.Version), zap.Uint64("floor", f.floor))
	}
}

// Apply prepares a version by its delta. It fails with CodeVersionMissing if the base is not here and with
// CodeViewDigest if the delta is damaged; the state is then unchanged.
func (f *Follower) Apply(version uint64, digest string, base uint64, delta []byte) error {
	f.mutex.Lock()
	from := f.versions[base]
	f.mutex.Unlock()
	if from == nil {
		return classifier.New(classifier.CodeVersionMissing, "delta", "base version %d is not kept", base)
	}
	view, err := compiler.Apply(from.View, delta)
	if err != nil {
		return err
	}
	return f.store(version, digest, &view, base, delta)
}

// Prepare prepares a version from its sections. It fails with CodeObjectMissing if one is missing and with
// CodeViewDigest if one is damaged; the state is then unchanged.
func (f *Follower) Prepare(version uint64, digest string, manifest []compiler.Entry, bodies map[string][]byte) error {
	view, err := f.assemble(version, manifest, bodies)
	if err != nil {
		return err
	}
	return f.store(version, digest, &view, 0, nil)
}

func (f *Follower) store(version uint64, digest string, view *compiler.View, base uint64, delta []byte) error {
	if version == 0 || view.Version != version || view.Digest != digest {
		return classifier.New(classifier.CodeViewDigest, "version", "version %d with digest %.16s came as %d with %.16s",
			view.Version, view.Digest, version, digest)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if held := f.versions[version]; held != nil {
		if held.View.Digest != digest {
			return classifier.New(classifier.CodeViewDigest, "version", "version %d is held with digest %.16s, not %.16s",
				version, held.View.Digest, digest)
		}
		return nil
	}
	f.versions[version] = newVersion(view, f.options.Clock.Now(), base, delta)
	f.known = max(f.known, version)
	f.prune()
	return nil
}

// Commit puts a prepared version in force if it is higher than the one in force, and reports whether the version in
// force is now at or above it. The view is swapped as a whole.
func (f *Follower) Commit(version uint64) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	view := f.active.Load()
	if view != nil && view.Version >= version && !f.backward {
		return true
	}
	next := f.versions[version]
	if next == nil {
		return false
	}
	f.active.Store(next.View)
	f.options.Logger.Info("follower: version is in force", zap.Uint64("version", version),
		zap.String("digest", next.View.Digest))
	f.check()
	f.prune()
	return true
}

// prune drops versions below the active one except the latest. The caller holds the mutex.
func (f *Follower) prune() {
	view := f.active.Load()
	if view == nil || f.backward {
		return
	}
	var past []uint64
	for version := range f.versions {
		if version <= view.Version {
			past = append(past, version)
		}
	}
	slices.Sort(past)
	for i := range len(past) - keep {
		delete(f.versions, past[i])
	}
}

// Pending returns the highest prepared version above the one in force, or nil.
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

// Body returns a section by its digest from any version held, or nil.
func (f *Follower) Body(digest string) []byte {
	f.mutex.Lock()
	held := make([]*Version, 0, len(f.versions))
	for _, v := range f.versions {
		held = append(held, v)
	}
	f.mutex.Unlock()
	for _, v := range held {
		if body := v.Body(digest); body != nil {
			return body
		}
	}
	return nil
}
