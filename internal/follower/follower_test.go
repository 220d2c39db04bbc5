package follower

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

func newFollower() *Follower {
	return New(Options{Clock: timekeeper.Manual(0).Clock()})
}

// viewOf returns a view with a service that three accounts share, and its sections.
func viewOf(t interface{ Fatal(...any) }, version uint64) (compiler.View, []compiler.Entry, map[string][]byte) {
	view := compiler.View{
		Version:  version,
		Services: []compiler.Service{{Name: "s", Zones: []string{"z"}, Slots: int(version), Connections: 1}},
	}
	for i := range 3 {
		view.Accounts = append(view.Accounts, compiler.Account{
			Name: fmt.Sprintf("account-%d", i), Host: "h", Ranks: []compiler.Rank{}, Services: []string{"s"},
			Calls: []compiler.Call{{Name: "call", Service: "s", Method: "GET", Path: "/", Rank: "r", Timeout: 1}},
		})
	}
	manifest, bodies, err := compiler.Sections(&view)
	if err != nil {
		t.Fatal(err)
	}
	view.Digest = compiler.ManifestDigest(manifest)
	return view, manifest, bodies
}

// prepare prepares a version of f.
func prepare(t interface{ Fatal(...any) }, f *Follower, version uint64) compiler.View {
	view, manifest, bodies := viewOf(t, version)
	if err := f.Prepare(version, view.Digest, manifest, bodies); err != nil {
		t.Fatal(err)
	}
	return view
}

// isComplete reports whether the view has all accounts and matches its digest.
func isComplete(view *compiler.View) bool {
	manifest, _, err := compiler.Sections(view)
	return err == nil && len(view.Accounts) == 3 && compiler.ManifestDigest(manifest) == view.Digest
}

// Guards against an active view with a missing or damaged section. Without the verification of the sections the node
// activates such a view.
func TestActiveViewIsComplete(t *testing.T) {
	for _, skipVerification := range []bool{false, true} {
		rapid.Check(t, func(t *rapid.T) {
			f := newFollower()
			if skipVerification {
				f.assemble = func(version uint64, manifest []compiler.Entry, bodies map[string][]byte) (compiler.View, error) {
					intact := slices.DeleteFunc(slices.Clone(manifest), func(e compiler.Entry) bool {
						return compiler.DigestOf(bodies[e.Digest]) != e.Digest
					})
					view, err := compiler.Assemble(version, intact, bodies)
					view.Digest = compiler.ManifestDigest(manifest)
					return view, err
				}
			}
			view, manifest, bodies := viewOf(t, 1)
			bodies = maps.Clone(bodies)
			digest := manifest[rapid.IntRange(0, 2).Draw(t, "section")].Digest
			if rapid.Bool().Draw(t, "missing") {
				delete(bodies, digest)
			} else {
				bodies[digest] = slices.Clone(bodies[digest])
				i := rapid.IntRange(0, len(bodies[digest])-1).Draw(t, "byte")
				bodies[digest][i] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
			}
			err := f.Prepare(1, view.Digest, manifest, bodies)
			f.Commit(1)
			incomplete := f.Active() != nil && !isComplete(f.Active())
			if incomplete != skipVerification || (err == nil) != skipVerification || !skipVerification && f.Known() != 0 {
				t.Fatalf("verification off %v: incomplete view active %v, error %v", skipVerification, incomplete, err)
			}
		})
	}
}

// Guards against a node that returns to an older version, whatever the order of preparation and commit. Without the
// comparison of versions the node does so.
func TestVersionOnlyIncreases(t *testing.T) {
	decreased := false
	for _, skipComparison := range []bool{false, true} {
		rapid.Check(t, func(t *rapid.T) {
			f := newFollower()
			f.allowOlder = skipComparison
			highest := uint64(0)
			for range rapid.IntRange(1, 30).Draw(t, "steps") {
				version := rapid.Uint64Range(1, 8).Draw(t, "version")
				if rapid.Bool().Draw(t, "prepare") {
					prepare(t, f, version)
				} else {
					f.Commit(version)
				}
				active := f.ActiveVersion()
				if active < highest {
					decreased = true
					if !skipComparison {
						t.Fatalf("version %d after %d", active, highest)
					}
				}
				highest = max(highest, active)
				if f.Known() < active {
					t.Fatalf("known is %d below the active %d", f.Known(), active)
				}
			}
		})
	}
	if !decreased {
		t.Error("no run returned to an older version with the comparison off")
	}
}

// Guards against two views with the same version number, and against a version announced with the digest of another.
func TestVersionHasOneDigest(t *testing.T) {
	f := newFollower()
	view := prepare(t, f, 1)
	other, manifest, bodies := viewOf(t, 2)
	for _, version := range []uint64{1, 3} {
		digest := map[uint64]string{1: other.Digest, 3: view.Digest}[version]
		if code := classifier.CodeOf(f.Prepare(version, digest, manifest, bodies)); code != classifier.CodeViewDigest {
			t.Errorf("version %d got code %d", version, code)
		}
	}
	if f.Known() != 1 || f.Version(3) != nil {
		t.Errorf("state changed: known %d", f.Known())
	}
}

// Guards against a node that is ready before its floor is confirmed or below the floor, and against a floor that
// decreases.
func TestReadyNeedsFloor(t *testing.T) {
	f := newFollower()
	activate := func(version uint64) {
		prepare(t, f, version)
		f.Commit(version)
	}
	activate(1)
	if f.Ready() {
		t.Error("ready without a confirmed floor")
	}
	f.ConfirmFloor(3)
	f.ConfirmFloor(2)
	activate(2)
	if f.Ready() || f.Floor() != 3 {
		t.Errorf("ready %v with version 2 and floor %d", f.Ready(), f.Floor())
	}
	activate(3)
	if !f.Ready() {
		t.Error("not ready at the floor")
	}
}

// Guards against unbounded memory use by versions below the active one, of which only the latest are kept.
func TestOldVersionsAreDeleted(t *testing.T) {
	f := newFollower()
	for version := uint64(1); version <= 20; version++ {
		prepare(t, f, version)
		f.Commit(version)
	}
	if len(f.versions) != keptVersions || f.Version(20) == nil || f.Version(20-keptVersions) != nil {
		t.Errorf("%d versions are stored", len(f.versions))
	}
}

// Guards against a delta that changes its base, and against one that is applied to another base.
func TestDeltaNeedsItsBase(t *testing.T) {
	f := newFollower()
	first, _, _ := viewOf(t, 1)
	second, _, _ := viewOf(t, 2)
	delta, err := compiler.Delta(&first, &second)
	if err != nil {
		t.Fatal(err)
	}
	if code := classifier.CodeOf(f.Apply(2, second.Digest, 1, delta)); code != classifier.CodeVersionMissing {
		t.Errorf("delta without its base got code %d", code)
	}
	prepare(t, f, 1)
	if code := classifier.CodeOf(f.Apply(2, first.Digest, 1, delta)); code != classifier.CodeViewDigest {
		t.Errorf("delta with another digest got code %d", code)
	}
	if err := f.Apply(2, second.Digest, 1, delta); err != nil || f.Known() != 2 || !isComplete(f.Version(1).View) {
		t.Errorf("delta not applied: %v", err)
	}
}
