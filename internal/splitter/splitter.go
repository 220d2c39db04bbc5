// Package splitter splits JSON texts at their outermost level. Unlike encoding/json it does not look inside the parts:
// a part that is nested too deeply, or that holds a value out of range, does not affect the others.
package splitter

import (
	"encoding/json"
	"errors"
)

var (
	errTruncated = errors.New("the JSON text ends early")
	errTrailing  = errors.New("the JSON text has bytes after its end")
	errSyntax    = errors.New("the JSON text is malformed")
)

// Array returns the elements of a JSON array. They are parts of text and are not checked.
func Array(text []byte) ([]json.RawMessage, error) {
	s := scanner{text: text}
	elements := []json.RawMessage{}
	err := s.collection('[', ']', func() error {
		element, err := s.value()
		elements = append(elements, element)
		return err
	})
	if err != nil {
		return nil, err
	}
	return elements, nil
}

// Object returns the members of a JSON object by their names, the last one where a name occurs more than once. They are
// parts of text and are not checked.
func Object(text []byte) (map[string]json.RawMessage, error) {
	s := scanner{text: text}
	members := make(map[string]json.RawMessage)
	err := s.collection('{', '}', func() error {
		quoted, err := s.value()
		if err != nil {
			return err
		}
		var name string
		if quoted[0] != '"' || json.Unmarshal(quoted, &name) != nil || s.next() != ':' {
			return errSyntax
		}
		s.at++
		members[name], err = s.value()
		return err
	})
	if err != nil {
		return nil, err
	}
	return members, nil
}

// scanner reads a JSON text from a position on.
type scanner struct {
	text []byte
	at   int
}

// next skips white space and returns the next byte, or 0 at the end of the text.
func (s *scanner) next() byte {
	for ; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case ' ', '\t', '\r', '\n':
		default:
			return s.text[s.at]
		}
	}
	return 0
}

// collection reads a whole text that is an array or an object, and calls item at the start of each item.
func (s *scanner) collection(opening, closing byte, item func() error) error {
	if s.next() != opening {
		return errSyntax
	}
	s.at++
	for first := true; ; first = false {
		if first && s.next() == closing {
			break
		}
		if err := item(); err != nil {
			return err
		}
		separator := s.next()
		if separator == closing {
			break
		}
		if separator == 0 {
			return errTruncated
		}
		if separator != ',' {
			return errSyntax
		}
		s.at++
	}
	s.at++
	if s.next() != 0 || s.at < len(s.text) {
		return errTrailing
	}
	return nil
}

// value skips one value and returns it. It follows only strings and the depth of brackets.
func (s *scanner) value() (json.RawMessage, error) {
	s.next()
	start := s.at
	for depth := 0; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '"':
			if !s.skipString() {
				return nil, errTruncated
			}
		case '[', '{':
			depth++
		case ']', '}':
			if depth == 0 {
				return s.since(start)
			}
			depth--
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return s.since(start)
			}
		}
	}
	return nil, errTruncated
}

// since returns the text from a position to the current one, which must not be empty.
func (s *scanner) since(start int) (json.RawMessage, error) {
	if s.at == start {
		return nil, errSyntax
	}
	return s.text[start:s.at:s.at], nil
}

// skipString moves from the opening quote of a string to its closing quote. It returns false if there is none.
func (s *scanner) skipString() bool {
	for s.at++; s.at < len(s.text); s.at++ {
		switch s.text[s.at] {
		case '\\':
			s.at++
		case '"':
			return true
		}
	}
	return false
}
