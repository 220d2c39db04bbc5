package compiler

import (
	"github.com/klauspost/compress/zstd"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// DeltaFormat is the format number of an encoded delta.
const DeltaFormat = 1

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
		body, err := compress(newBodies[entry.Digest], oldBodies[old[entry.Account]])
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
	return msgpack.Marshal(&result)
}

// Apply returns the view that follows base by an encoded delta. It leaves base as it is. A delta for another base
// or with any damage gives CodeViewDigest; an unknown format gives CodeViewFormat.
func Apply(base *View, encoded []byte) (View, error) {
	var change delta
	if err := msgpack.Unmarshal(encoded, &change); err != nil {
		return View{}, classifier.Wrap(classifier.CodeViewDigest, "delta", err)
	}
	if change.Format != DeltaFormat {
		return View{}, classifier.New(classifier.CodeViewFormat, "delta", "format is %d, not %d", change.Format, DeltaFormat)
	}
	before, bodies, err := Sections(base)
	if err != nil {
		return View{}, err
	}
	if ManifestDigest(before) != change.Base {
		return View{}, classifier.New(classifier.CodeViewDigest, "delta", "base digest does not match")
	}
	manifest, err := change.patch(byAccount(before), bodies)
	if err != nil {
		return View{}, err
	}
	if ManifestDigest(manifest) != change.Digest {
		return View{}, classifier.New(classifier.CodeViewDigest, "delta", "result does not match its digest")
	}
	view, err := Assemble(change.Version, manifest, bodies)
	if err != nil {
		return View{}, classifier.Wrap(classifier.CodeViewDigest, "delta", err)
	}
	return view, nil
}

// patch returns the next manifest and adds the changed sections to bodies.
func (d *delta) patch(accounts map[string]string, bodies map[string][]byte) ([]Entry, error) {
	for _, name := range d.Removed {
		delete(accounts, name)
	}
	for _, item := range d.Changed {
		body, err := decompress(item.Body, bodies[accounts[item.Account]])
		if err != nil {
			return nil, classifier.Wrap(classifier.CodeViewDigest, item.Account, err)
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

func compress(body, dictionary []byte) ([]byte, error) {
	options := []zstd.EOption{zstd.WithEncoderConcurrency(1), zstd.WithEncoderCRC(false), zstd.WithLowerEncoderMem(true)}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithEncoderDictRaw(1, dictionary))
	}
	encoder, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = encoder.Close() }()
	return encoder.EncodeAll(body, nil), nil
}

func decompress(body, dictionary []byte) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(2 * MaxSectionBytes),
		zstd.WithDecoderMaxWindow(8 << 20),
	}
	if len(dictionary) > 0 {
		options = append(options, zstd.WithDecoderDictRaw(1, dictionary))
	}
	decoder, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, err
	}
	defer decoder.Close()
	return decoder.DecodeAll(body, nil)
}
