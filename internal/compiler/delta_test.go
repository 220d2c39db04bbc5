package compiler

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compressor"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// drawView generates a valid view with up to five accounts that share three services.
func drawView(t *rapid.T, label string) View {
	view := View{Version: rapid.Uint64().Draw(t, label+" version"), Services: []Service{}, Accounts: []Account{}}
	used := make(map[string]bool)
	for i := range 5 {
		if !rapid.Bool().Draw(t, label+" present") {
			continue
		}
		account := Account{
			Name: fmt.Sprintf("a%d", i), Host: fmt.Sprintf("a%d.example", i), Template: "shop",
			Services: []string{}, Calls: []Call{},
			Ranks: []Rank{{Name: "urgent", Order: 1, Target: 5, Worth: rapid.IntRange(0, 3).Draw(t, label+" worth")}},
		}
		for j := range 3 {
			if !rapid.Bool().Draw(t, label+" service") {
				continue
			}
			name := fmt.Sprintf("s%d", j)
			used[name] = true
			account.Services = append(account.Services, name)
			account.Calls = append(account.Calls, Call{
				Name: name, Service: name, Method: "GET", Path: "/" + name, Rank: "urgent",
				Timeout: timekeeper.Millis(rapid.IntRange(1, 3).Draw(t, label+" timeout")),
			})
		}
		view.Accounts = append(view.Accounts, account)
	}
	slots := rapid.IntRange(1, 3).Draw(t, label+" slots")
	for _, name := range sortedKeys(used) {
		view.Services = append(view.Services, Service{Name: name, Zones: []string{"east"}, Slots: slots, Connections: 9})
	}
	manifest, _, err := Sections(&view)
	if err != nil {
		t.Fatal(err)
	}
	view.Digest = ManifestDigest(manifest)
	return view
}

// Guards against a delta that yields another view than the sections do, and against a delta that modifies its base.
func TestDeltaPlusBaseEqualsNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next := drawView(t, "base"), drawView(t, "next")
		baseCopy := base
		baseCopy.Accounts = slices.Clone(base.Accounts)
		encoded, err := Delta(&base, &next)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Apply(&base, encoded)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(next, got); diff != "" {
			t.Fatalf("view differs (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(baseCopy, base); diff != "" {
			t.Fatalf("base changed (-before +after):\n%s", diff)
		}
	})
}

// corrupt returns a copy of a delta with one byte changed or with its end cut off.
func corrupt(t *rapid.T, encoded []byte) []byte {
	corrupted := slices.Clone(encoded)
	position := rapid.IntRange(0, len(encoded)-1).Draw(t, "position")
	if rapid.Bool().Draw(t, "cut") {
		return corrupted[:position]
	}
	corrupted[position] ^= byte(rapid.IntRange(1, 255).Draw(t, "mask"))
	return corrupted
}

// Guards against a node that accepts a corrupted delta or a delta for another base.
func TestApplyRefusesDamageAndOtherBases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, next, other := drawView(t, "base"), drawView(t, "next"), drawView(t, "other")
		encoded, err := Delta(&base, &next)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Apply(&base, corrupt(t, encoded)); classifier.CodeOf(err) != classifier.CodeViewDigest {
			t.Fatalf("corrupted delta: got error %v", err)
		}
		if other.Digest == base.Digest {
			return
		}
		if _, err := Apply(&other, encoded); classifier.CodeOf(err) != classifier.CodeViewDigest {
			t.Fatalf("delta for another base: got error %v", err)
		}
	})
}

// Guards against a corruption test that passes without the checks of Apply. Each alteration yields a well-formed delta
// for a wrong view: with the check that covers it disabled it must be accepted, and with all checks it must be refused.
func TestApplyNeedsItsChecks(t *testing.T) {
	stray := View{Accounts: []Account{{Name: "stray", Host: "stray.example", Services: []string{}, Calls: []Call{}}}}
	manifest, bodies, err := Sections(&stray)
	if err != nil {
		t.Fatal(err)
	}
	body, err := compressor.Compress(bodies[manifest[0].Digest], nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		alter    func(d *delta)
		sealed   bool // the checksum matches the altered delta
		disabled applyOptions
	}{
		{func(d *delta) { d.Version++ }, false, applyOptions{skipChecksum: true}},
		{func(d *delta) {
			d.Changed = append(d.Changed, change{Account: "stray", Digest: manifest[0].Digest, Body: body})
		}, true, applyOptions{skipDigest: true}},
	} {
		rapid.Check(t, func(t *rapid.T) {
			base, next := drawView(t, "base"), drawView(t, "next")
			encoded, err := Delta(&base, &next)
			if err != nil {
				t.Fatal(err)
			}
			wrong := alterDelta(t, encoded, c.alter, c.sealed)
			if got, err := apply(&base, wrong, c.disabled); err != nil || cmp.Equal(next, got) {
				t.Fatalf("%+v: error %v, correct view %v", c.disabled, err, cmp.Equal(next, got))
			}
			if _, err := Apply(&base, wrong); classifier.CodeOf(err) != classifier.CodeViewDigest {
				t.Fatalf("all checks enabled, altered delta that %+v accepts: got error %v", c.disabled, err)
			}
		})
	}
}

// alterDelta returns an encoded delta after a change to its decoded form, with the original checksum or a matching one.
func alterDelta(t *rapid.T, encoded []byte, alter func(d *delta), sealed bool) []byte {
	decoded, err := decodeDelta(encoded, applyOptions{})
	if err != nil {
		t.Fatal(err)
	}
	alter(decoded)
	body, err := msgpack.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	if sealed {
		return append(checksum(body), body...)
	}
	return append(slices.Clone(encoded[:checksumBytes]), body...)
}

// Guards against a section that a node receives swapped or corrupted, or does not receive.
func TestAssembleVerifiesSections(t *testing.T) {
	view, _ := Compile(readExamples(t, "wick"))
	manifest, bodies, err := Sections(&view)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Assemble(view.Version, manifest, bodies)
	if diff := cmp.Diff(view, got); err != nil || diff != "" {
		t.Fatalf("view differs, error %v (-want +got):\n%s", err, diff)
	}
	first := manifest[0].Digest
	body := slices.Clone(bodies[first])
	body[len(body)/2] ^= 1
	bodies[first] = body
	if _, err := Assemble(1, manifest, bodies); classifier.CodeOf(err) != classifier.CodeViewDigest {
		t.Errorf("corrupted section: got error %v", err)
	}
	delete(bodies, first)
	if _, err := Assemble(1, manifest, bodies); classifier.CodeOf(err) != classifier.CodeObjectMissing {
		t.Errorf("missing section: got error %v", err)
	}
}

// Guards against views whose digest depends on the order in which sources are listed.
func TestCompileIgnoresOrder(t *testing.T) {
	sources := readExamples(t, "wick")
	want, _ := Compile(sources)
	slices.Reverse(sources)
	got, _ := Compile(sources)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("view differs (-want +got):\n%s", diff)
	}
}

// Guards against a cache that returns stale results for sources that have changed.
func TestCacheCompilesLikeCompile(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cache := NewCache()
		templates := []string{shopTemplate, shopTemplate[1:], strings.Replace(shopTemplate, "worth: 100", "worth: 7", 1), "{"}
		accounts := []string{
			shopAccount, shopAccount + "values: {slots: 9}", "account: b", shopAccount + "values: {slots: 0}",
		}
		for range 10 {
			sources := shop(rapid.SampledFrom(templates).Draw(t, "template"), rapid.SampledFrom(accounts).Draw(t, "account"))
			sources = append(sources, Source{Name: "account.b", Value: []byte(strings.NewReplacer("account: a", "account: b",
				"a.example", "b.example").Replace(rapid.SampledFrom(accounts).Draw(t, "other")))})
			wantView, wantProblems := Compile(sources)
			view, problems := cache.Compile(sources)
			if diff := cmp.Diff(wantView, view) + cmp.Diff(wantProblems, problems); diff != "" {
				t.Fatalf("cached compilation differs (-want +got):\n%s", diff)
			}
		}
	})
}
