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

// viewOf returns a view with a service that two accounts share, and its parts.
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

// whole reports whether all parts of the view are there and its digest fits.
func whole(view *compiler.View) bool {
	manifest, _, err := compiler.Sections(view)
	return err == nil && len(view.Accounts) == 3 && compiler.ManifestDigest(manifest) == view.Digest
}

// Guards against a view in force of which a part is missing or damaged. Without the verification of the sections the
// node serves it.
func TestViewIsNeverInForceInPart(t *testing.T) {
	for _, off := range []bool{false, true} {
		rapid.Check(t, func(t *rapid.T) {
			f := newFollower()
			if off {
				f.assemble = func(version uint64, manifest []compiler.Entry, bodies map[string][]byte) (compiler.View, error) {
					held := slices.DeleteFunc(slices.Clone(manifest), func(e compiler.Entry) bool {
						return compiler.DigestOf(bodies[e.Digest]) != e.Digest
					})
					view, err := compiler.Assemble(version, held, bodies)
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
			inPart := f.Active() != nil && !whole(f.Active())
			if inPart != off || (err == nil) != off || !off && f.Known() != 0 {
				t.Fatalf("verification off %v: in force in part %v, error %v", off, inPart, err)
			}
		})
	}
}

// Guards against a node that moves back to an older version, whatever the order of preparation and commit. Without
// the comparison it does.
func TestVersionOnlyRises(t *testing.T) {
	fell := false
	for _, off := range []bool{false, true} {
		rapid.Check(t, func(t *rapid.T) {
			f := newFollower()
			f.backward = off
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
					fell = true
					if !off {
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
	if !fell {
		t.Error("no run moved back with the comparison off")
	}
}

// Guards against two views under one version number, and against a version that is announced with another digest.
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

// Guards against a node that serves before its floor is confirmed or below it, and a floor that falls.
func TestReadyNeedsFloor(t *testing.T) {
	f := newFollower()
	put := func(version uint64) {
		prepare(t, f, version)
		f.Commit(version)
	}
	put(1)
	if f.Ready() {
		t.Error("ready without a confirmed floor")
	}
	f.ConfirmFloor(3)
	f.ConfirmFloor(2)
	put(2)
	if f.Ready() || f.Floor() != 3 {
		t.Errorf("ready %v with version 2 and floor %d", f.Ready(), f.Floor())
	}
	put(3)
	if !f.Ready() {
		t.Error("not ready at the floor")
	}
}

// Guards against unbounded memory: versions below the active one are dropped except the latest.
func TestOldVersionsAreDropped(t *testing.T) {
	f := newFollower()
	for version := uint64(1); version <= 20; version++ {
		prepare(t, f, version)
		f.Commit(version)
	}
	if len(f.versions) != keep || f.Version(20) == nil || f.Version(20-keep) != nil {
		t.Errorf("%d versions are held", len(f.versions))
	}
}

// Guards against a delta that changes its base, or is taken for another base.
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
	if err := f.Apply(2, second.Digest, 1, delta); err != nil || f.Known() != 2 || !whole(f.Version(1).View) {
		t.Errorf("delta not applied: %v", err)
	}
}
