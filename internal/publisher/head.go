package publisher

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/decoder"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// HeadFormat is the format number of an encoded head.
const HeadFormat = 1

// HeadName is the name of the only object of kind head.
const HeadName = "head"

// maxDeltaBytes is the largest delta kept in the head; a larger one is omitted, and nodes fetch sections instead.
const maxDeltaBytes = 64 << 10

// Head is the published version with the decisions on sets. A publication is committed by one conditional write of
// the head.
type Head struct {
	Format         int               `json:"format"         msgpack:"f"`
	Version        uint64            `json:"version"        msgpack:"v"`
	Digest         string            `json:"digest"         msgpack:"d"`
	Manifest       []compiler.Entry  `json:"manifest"       msgpack:"m"`
	SourceRevision uint64            `json:"sourceRevision" msgpack:"r"` // revision of the source snapshot
	Operations     []Operation       `json:"operations"     msgpack:"o"` // decisions on recent sets
	Author         string            `json:"author"         msgpack:"a"`
	Published      timekeeper.Millis `json:"published"      msgpack:"p"`
	Base           uint64            `json:"base"           msgpack:"b"` // version that Delta applies to
	Delta          []byte            `json:"-"              msgpack:"x"` // empty if unavailable or too large
}

// Operation is a decided set: accepted in Version, or refused with Code. Revision is that of the set object; an object
// of the same name and another revision is a repeated submission, whose edits must not be applied again.
type Operation struct {
	ID       string          `json:"id"             msgpack:"i"`
	Version  uint64          `json:"version"        msgpack:"v"`
	Code     classifier.Code `json:"code,omitempty" msgpack:"c"`
	Revision uint64          `json:"revision"       msgpack:"r"`
}

// Encode returns the stored form of the head.
func (h *Head) Encode() ([]byte, error) {
	body, err := msgpack.Marshal(h)
	if err != nil {
		return nil, classifier.Wrap(classifier.CodeViewFormat, HeadName, err)
	}
	return body, nil
}

// DecodeHead reads a stored head and checks that its digest matches its manifest.
func DecodeHead(body []byte) (Head, error) {
	var head Head
	if err := decoder.Unmarshal(body, &head); err != nil {
		return Head{}, classifier.Wrap(classifier.CodeViewFormat, HeadName, err)
	}
	if head.Format != HeadFormat {
		return Head{}, classifier.New(classifier.CodeViewFormat, HeadName, "format is %d, not %d", head.Format, HeadFormat)
	}
	if head.Version == 0 || compiler.ManifestDigest(head.Manifest) != head.Digest {
		return Head{}, classifier.New(classifier.CodeViewDigest, HeadName, "manifest does not match the digest")
	}
	return head, nil
}

// operation returns the decision on a set, or nil.
func (h *Head) operation(id string) *Operation {
	for i := range h.Operations {
		if h.Operations[i].ID == id {
			return &h.Operations[i]
		}
	}
	return nil
}
