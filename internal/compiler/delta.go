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

// checksumBytes is the length of the checksum that precedes an encoded delta. The checksum protects the fields that no
// digest covers, such as the version.
const checksumBytes = 8

// applyOptions makes apply skip checks. Only tests set it, to show that they fail without the checks.
type applyOptions struct {
	skipChecksum bool
	skipDigest   bool
}

// delta is the wire format of the difference between two views.
type delta struct {
	Format  int      `msgpack:"f"`
	Version uint64   `msgpack:"v"`
	Base    string   `msgpack:"b"` // digest of the base view
	Digest  string   `msgpack:"d"` // digest of the next view
	Removed []string `msgpack:"r"` // names of the removed accounts
	Changed []change `msgpack:"c"`
}

// change is a section that is new or has changed. Body is compressed with the account's section in the base view as the
// dictionary.
type change struct {
	Account string `msgpack:"a"`
	Digest  string `msgpack:"d"`
	Body    []byte `msgpack:"b"`
}

// Delta encodes the difference between the base view and the next one.
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
	oldDigests := digestsByAccount(before)
	for _, entry := range after {
		if oldDigests[entry.Account] == entry.Digest {
			continue
		}
		body, err := compressor.Compress(newBodies[entry.Digest], oldBodies[oldDigests[entry.Account]])
		if err != nil {
			return nil, classifier.Wrap(classifier.CodeViewFormat, entry.Account, err)
		}
		result.Changed = append(result.Changed, change{Account: entry.Account, Digest: entry.Digest, Body: body})
	}
	newDigests := digestsByAccount(after)
	for _, entry := range before {
		if newDigests[entry.Account] == "" {
			result.Removed = append(result.Removed, entry.Account)
		}
	}
	encoded, err := msgpack.Marshal(&result)
	if err != nil {
		return nil, classifier.Wrap(classifier.CodeViewFormat, "delta", err)
	}
	return append(checksum(encoded), encoded...), nil
}

// Apply returns the view that results from applying an encoded delta to base. It does not modify base. The error is
// CodeViewDigest for a corrupted delta or a delta for another base, and CodeViewFormat for an unknown format.
func Apply(base *View, encoded []byte) (View, error) {
	return apply(base, encoded, applyOptions{})
}

func apply(base *View, encoded []byte, options applyOptions) (View, error) {
	decoded, err := decodeDelta(encoded, options)
	if err != nil {
		return View{}, err
	}
	before, bodies, err := Sections(base)
	if err != nil {
		return View{}, err
	}
	if ManifestDigest(before) != decoded.Base && !options.skipDigest {
		return View{}, classifier.New(classifier.CodeViewDigest, "delta", "base digest does not match")
	}
	manifest, err := decoded.patch(digestsByAccount(before), bodies, options)
	if err != nil {
		return View{}, err
	}
	if ManifestDigest(manifest) != decoded.Digest && !options.skipDigest {
		return View{}, classifier.New(classifier.CodeViewDigest, "delta", "result does not match its digest")
	}
	view, err := Assemble(decoded.Version, manifest, bodies)
	if err != nil {
		return View{}, classifier.Wrap(classifier.CodeViewDigest, "delta", err)
	}
	return view, nil
}

func decodeDelta(encoded []byte, options applyOptions) (*delta, error) {
	if len(encoded) < checksumBytes {
		return nil, classifier.New(classifier.CodeViewDigest, "delta", "delta has only %d bytes", len(encoded))
	}
	body := encoded[checksumBytes:]
	if !bytes.Equal(checksum(body), encoded[:checksumBytes]) && !options.skipChecksum {
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

// patch updates the digests by account, adds the changed sections to bodies and returns the next manifest.
func (d *delta) patch(digests map[string]string, bodies map[string][]byte, options applyOptions) ([]Entry, error) {
	for _, name := range d.Removed {
		delete(digests, name)
	}
	for _, item := range d.Changed {
		body, err := compressor.Decompress(item.Body, bodies[digests[item.Account]], 2*MaxSectionBytes)
		if err != nil {
			return nil, classifier.Wrap(classifier.CodeViewDigest, item.Account, err)
		}
		if options.skipDigest {
			item.Digest = DigestOf(body)
		}
		if DigestOf(body) != item.Digest {
			return nil, classifier.New(classifier.CodeViewDigest, item.Account, "section does not match its digest")
		}
		digests[item.Account] = item.Digest
		bodies[item.Digest] = body
	}
	manifest := make([]Entry, 0, len(digests))
	for _, name := range sortedKeys(digests) {
		manifest = append(manifest, Entry{Account: name, Digest: digests[name]})
	}
	return manifest, nil
}

func digestsByAccount(manifest []Entry) map[string]string {
	digests := make(map[string]string, len(manifest))
	for _, entry := range manifest {
		digests[entry.Account] = entry.Digest
	}
	return digests
}
