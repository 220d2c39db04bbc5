package compiler

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against a source that crashes a publisher, or that compiles to a view that nodes cannot assemble.
func FuzzCompile(f *testing.F) {
	for _, example := range []string{"ochre", "wick"} {
		sources := readExamples(f, example)
		f.Add(sources[len(sources)-1].Value, sources[0].Value)
	}
	f.Add([]byte(shopTemplate), []byte(shopAccount))
	f.Add([]byte("template: shop\nranks: [1, {}]\n"), []byte("? - - a: &x"))
	f.Add([]byte("{template: shop, parameters: [{name: a, type: list}]}"), []byte(`{"account": "a", "values": {"a": 1}}`))
	f.Fuzz(func(t *testing.T, template, account []byte) {
		view, problems := Compile(shop(string(template), string(account)))
		if len(problems) > 0 {
			return
		}
		manifest, bodies, err := Sections(&view)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Assemble(0, manifest, bodies)
		if diff := cmp.Diff(view, got); err != nil || diff != "" {
			t.Fatalf("view differs, error %v (-want +got):\n%s", err, diff)
		}
	})
}

// Guards against a delta that crashes a node, exhausts its memory, or is accepted without matching its digest.
func FuzzApply(f *testing.F) {
	base, _ := Compile(readExamples(f, "ochre"))
	next, _ := Compile(readExamples(f, "wick"))
	encoded, err := Delta(&base, &next)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded[checksumBytes:])
	f.Add([]byte{})
	f.Add([]byte{0x86, 0xa1, 'f', 1})
	f.Fuzz(func(t *testing.T, body []byte) {
		view, err := Apply(&base, append(checksum(body), body...))
		if err != nil {
			return
		}
		manifest, _, err := Sections(&view)
		if err != nil || ManifestDigest(manifest) != view.Digest {
			t.Fatalf("accepted view does not match its digest: %v", err)
		}
	})
}

// Guards against a section that crashes a node.
func FuzzDecodeSection(f *testing.F) {
	view, _ := Compile(readExamples(f, "ochre"))
	_, bodies, _ := Sections(&view)
	for _, body := range bodies {
		f.Add(body)
	}
	f.Fuzz(func(_ *testing.T, body []byte) {
		_, _ = DecodeSection(body)
	})
}
