// Package publisher turns sources on the platform into published configuration versions.
//
// Operators submit sets of edits, which are stored as objects next to the sources. A publication cycle accepts or
// refuses the sets and commits the decisions and the new version with one conditional write of the head. It then folds
// the accepted sets: it writes their edits into the sources and deletes the decided sets.
package publisher

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
)

// SetPrefix starts the names of the objects that hold sets.
const SetPrefix = "set."

// maxEdits is the largest number of edits in a set.
const maxEdits = 256

var operationPattern = regexp.MustCompile(`^[a-zA-Z0-9][a-zA-Z0-9_-]{0,63}$`)

// Edit is a change to one source. Base is the revision that the author edited; 0 creates the source.
type Edit struct {
	Name   string `json:"name"`
	Value  string `json:"value,omitempty"`
	Base   uint64 `json:"base"`
	Delete bool   `json:"delete,omitempty"`
}

// Set holds the edits of one apply; they are accepted together or not at all.
type Set struct {
	Operation string `json:"operation"` // unique id chosen by the submitter
	Author    string `json:"author"`
	Edits     []Edit `json:"edits"`
}

// Result describes an accepted set. Version is the first version that contains it.
type Result struct {
	Operation string `json:"operation"`
	Version   uint64 `json:"version"`
	Digest    string `json:"digest"` // digest of the latest version, not older than Version
}

// value returns the value that the edit stores; an empty value marks a deleted source.
func (e *Edit) value() []byte {
	if e.Delete {
		return []byte{}
	}
	return []byte(e.Value)
}

// check returns the first reason why the set is malformed.
func (s *Set) check() error {
	subject := SetPrefix + s.Operation
	if !operationPattern.MatchString(s.Operation) {
		return classifier.New(classifier.CodeSourceInvalid, subject, "operation id is not valid")
	}
	if len(s.Edits) == 0 || len(s.Edits) > maxEdits {
		return classifier.New(classifier.CodeSourceInvalid, subject, "set has %d edits, not 1 to %d", len(s.Edits), maxEdits)
	}
	names := make(map[string]bool, len(s.Edits))
	for i := range s.Edits {
		edit := &s.Edits[i]
		switch {
		case !compiler.IsSourceName(edit.Name):
			return classifier.New(classifier.CodeSourceInvalid, edit.Name, "source name is not valid")
		case names[edit.Name]:
			return classifier.New(classifier.CodeSourceDuplicate, edit.Name, "set edits the source twice")
		case edit.Delete && (edit.Value != "" || edit.Base == 0):
			return classifier.New(classifier.CodeSourceInvalid, edit.Name, "a deletion needs a base and no value")
		case !edit.Delete && strings.TrimSpace(edit.Value) == "":
			return classifier.New(classifier.CodeSourceInvalid, edit.Name, "value is empty")
		case len(edit.Value) > compiler.MaxSourceBytes:
			return classifier.New(classifier.CodeSourceTooLarge, edit.Name, "value has %d bytes, the limit is %d",
				len(edit.Value), compiler.MaxSourceBytes)
		}
		names[edit.Name] = true
	}
	return nil
}

// encode returns the stored form of the set. HTML escapes would make some sources six times as long.
func (s *Set) encode() ([]byte, error) {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(s); err != nil {
		return nil, classifier.Wrap(classifier.CodeBadRequest, SetPrefix+s.Operation, err)
	}
	return buffer.Bytes(), nil
}

// decodeSet decodes a set object. On an error, the returned set still has the operation id of the object's name.
func decodeSet(object connector.Object) (Set, error) {
	operation := strings.TrimPrefix(object.Name, SetPrefix)
	var set Set
	if err := json.Unmarshal(object.Value, &set); err != nil {
		return Set{Operation: operation}, classifier.Wrap(classifier.CodeSourceDecode, object.Name, err)
	}
	if set.Operation != operation {
		return Set{Operation: operation}, classifier.New(classifier.CodeSourceInvalid, object.Name,
			"operation %q differs from the object's name", set.Operation)
	}
	return set, set.check()
}
