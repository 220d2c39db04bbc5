package compiler

import (
	"bytes"
	"crypto/sha256"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compressor"
	"github.com/jasmineproxy/jasmineproxy/internal/decoder"
)

// DeltaFormat is the format number of an encoded delta.
const DeltaFormat = 1

// checksumBytes is the length of the checksum before the encoded delta. It covers the fields that no digest covers,
// such as the version.
const checksumBytes = 8

// verification switches checks off. Only test files set it, to show that the tests need each check.
type verification struct {
	noChecksum bool
	noDigest   bool
}

// delta is the wire form of the difference between two views.
type delta struct {
	Format  int      `msgpack:"f"`
	Version uint64   `msgpack:"v"`
	Base    string   `msgpack:"b"` // digest of the base view
	Digest  string   `msgpack:"d"` // digest of the next view
	Removed []string `msgpack:"r"` // accounts
	Changed []change `msgpack:"c"`
}

// change is one section that is new or differs; its body is compressed with the old section as the dictionary.
type change struct {
	Account string `msgpack:"a"`
	Digest  string `msgpack:"d"`
	Body    []byte `msgpack:"b"`
}

// Delta encodes the difference between two views.
func Delta(base, next *View) ([]byte, error) {
	before, oldBodies, err := Sections(base)
	if err != nil {
		return nil, err
	}
	after, newBodies, err := Sections(next)
	if err != nil {
		return nil, err
	}
	result := delta{
		Format: DeltaFormat, Version: next.Version, Base: ManifestDigest(before), Digest: ManifestDigest(after),
	}
	old := byAccount(before)
	for _, entry := range after {
		if old[entry.Account] == entry.Digest {
			continue
		}
		body, err := compressor.Compress(newBodies[entry.Digest], oldBodies[old[entry.Account]])
		if err != nil {
			return nil, classifier.Wrap(classifier.CodeViewFormat, entry.Account, err)
		}
		result.Changed = append(result.Changed, change{Account: entry.Account, Digest: entry.Digest, Body: body})
	}
	kept := byAccount(after)
	for _, entry := range before {
		if kept[entry.Account] == "" {
			result.Removed = append(result.Removed, entry.Account)
		}
	}
	encoded, err := msgpack.Marshal(&result)
	if err != nil {
		return nil, classifier.Wrap(classifier.CodeViewFormat, "delta", err)
	}
	return append(checksum(encoded), encoded...), nil
}

// Apply returns the view that follows base by an encoded delta. It leaves base as it is. A delta for another base
// or with any damage gives CodeViewDigest; an unknown format gives CodeViewFormat.
func Apply(base *View, encoded []byte) (View, error) {
	return apply(base, encoded, verification{})
}

func apply(base *View, encoded []byte, off verification) (View, error) {
	change, err := decodeDelta(encoded, off)
	if err != nil {
		return View{}, err
	}
	before, bodies, err := Sections(base)
	if err != nil {
		return View{}, err
	}
	if ManifestDigest(before) != change.Base && !off.noDigest {
		return View{}, classifier.New(classifier.CodeViewDigest, "delta", "base digest does not match")
	}
	manifest, err := change.patch(byAccount(before), bodies, off)
	if err != nil {
		return View{}, err
	}
	if ManifestDigest(manifest) != change.Digest && !off.noDigest {
		return View{}, classifier.New(classifier.CodeViewDigest, "delta", "result does not match its digest")
	}
	view, err := Assemble(change.Version, manifest, bodies)
	if err != nil {
		return View{}, classifier.Wrap(classifier.CodeViewDigest, "delta", err)
	}
	return view, nil
}

func decodeDelta(encoded []byte, off verification) (*delta, error) {
	if len(encoded) < checksumBytes {
		return nil, classifier.New(classifier.CodeViewDigest, "delta", "delta has only %d bytes", len(encoded))
	}
	body := encoded[checksumBytes:]
	if !bytes.Equal(checksum(body), encoded[:checksumBytes]) && !off.noChecksum {
		return nil, classifier.New(classifier.CodeViewDigest, "delta", "checksum does not match")
	}
	var result delta
	if err := decoder.Unmarshal(body, &result); err != nil {
		return nil, classifier.Wrap(classifier.CodeViewDigest, "delta", err)
	}
	if result.Format != DeltaFormat {
		return nil, classifier.New(classifier.CodeViewFormat, "delta", "format is %d, not %d", result.Format, DeltaFormat)
	}
	return &result, nil
}

func checksum(body []byte) []byte {
	sum := sha256.Sum256(body)
	return sum[:checksumBytes]
}

// patch returns the next manifest and adds the changed sections to bodies.
func (d *delta) patch(accounts map[string]string, bodies map[string][]byte, off verification) ([]Entry, error) {
	for _, name := range d.Removed {
		delete(accounts, name)
	}
	for _, item := range d.Changed {
		body, err := compressor.Decompress(item.Body, bodies[accounts[item.Account]], 2*MaxSectionBytes)
		if err != nil {
			return nil, classifier.Wrap(classifier.CodeViewDigest, item.Account, err)
		}
		if off.noDigest {
			item.Digest = DigestOf(body)
		}
		if DigestOf(body) != item.Digest {
			return nil, classifier.New(classifier.CodeViewDigest, item.Account, "section does not match its digest")
		}
		accounts[item.Account] = item.Digest
		bodies[item.Digest] = body
	}
	manifest := make([]Entry, 0, len(accounts))
	for _, name := range sortedKeys(accounts) {
		manifest = append(manifest, Entry{Account: name, Digest: accounts[name]})
	}
	return manifest, nil
}

func byAccount(manifest []Entry) map[string]string {
	digests := make(map[string]string, len(manifest))
	for _, entry := range manifest {
		digests[entry.Account] = entry.Digest
	}
	return digests
}
