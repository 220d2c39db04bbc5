package splitter

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Guards against an element that hides the others of its array, and against a damaged array that is taken for a whole
// one.
func TestArray(t *testing.T) {
	deep := strings.Repeat(`[{"a":`, 50_000) + "1" + strings.Repeat("}]", 50_000)
	for text, want := range map[string][]string{
		`[]`:                        {},
		" [ ] ":                     {},
		`[1,"a,]b", {"x":[2,3]} ]`:  {`1`, `"a,]b"`, `{"x":[2,3]}`},
		`["\"]", "\\",""]`:          {`"\"]"`, `"\\"`, `""`},
		`[1e999,` + deep + `,null]`: {`1e999`, deep, `null`},
		``:                          nil, `{}`: nil, `[`: nil, `[1`: nil, `[1,`: nil, `[1,]`: nil, `[,1]`: nil, `[1 2]`: nil,
		`[1]]`: nil, `[1],`: nil, `["a]`: nil, `["a\"]`: nil, `[[1]`: nil, "[1]\x00": nil, `["a\`: nil,
	} {
		elements, err := Array([]byte(text))
		got := make([]string, 0, len(elements))
		for _, element := range elements {
			got = append(got, string(element))
		}
		if want == nil {
			want = []string{}
			if err == nil {
				t.Errorf("%.40s: no error", text)
			}
		} else if err != nil {
			t.Errorf("%.40s: %v", text, err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%.40s: elements differ (-want +got):\n%.400s", text, diff)
		}
	}
}

// Guards against a member that hides the others of its object, and against a damaged object that is taken for a whole
// one.
func TestObject(t *testing.T) {
	for text, want := range map[string]map[string]json.RawMessage{
		`{}`: {},
		` {"a" : 1 , "b\u0022":"}", "c":{"a":2},"a":[3]} `: {
			"a": json.RawMessage(`[3]`), `b"`: json.RawMessage(`"}"`), "c": json.RawMessage(`{"a":2}`),
		},
		``: nil, `[]`: nil, `{`: nil, `{"a"`: nil, `{"a":`: nil, `{"a":1`: nil, `{"a":1,`: nil, `{"a":1,}`: nil,
		`{"a" 1}`: nil, `{1:2}`: nil, `{"a":}`: nil, `{"a":1}}`: nil, `{:1}`: nil, `{"a":1 "b":2}`: nil,
	} {
		got, err := Object([]byte(text))
		if (err == nil) != (want != nil) {
			t.Errorf("%s: error %v", text, err)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("%s: members differ (-want +got):\n%s", text, diff)
		}
	}
}

// FuzzSplit checks that a JSON text is split into the same parts as encoding/json sees, and that no other text is
// accepted as whole unless a part of it is malformed.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{`[1,"a"]`, `{"a":[1,{"b":null}],"c":"\u00e9"}`, `[[[]]]`, `["\\"]`, "[\"\xff\"]"} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		elements, arrayErr := Array(text)
		members, objectErr := Object(text)
		var wantElements []json.RawMessage
		var wantMembers map[string]json.RawMessage
		isArray := json.Unmarshal(text, &wantElements) == nil && wantElements != nil
		isObject := json.Unmarshal(text, &wantMembers) == nil && wantMembers != nil
		if isArray && (arrayErr != nil || !cmp.Equal(wantElements, elements)) {
			t.Errorf("%q: elements %q, error %v", text, elements, arrayErr)
		}
		if isObject && (objectErr != nil || !cmp.Equal(wantMembers, members)) {
			t.Errorf("%q: members %q, error %v", text, members, objectErr)
		}
		if arrayErr == nil && !isArray && allValid(elements) {
			t.Errorf("%q: accepted as an array", text)
		}
	})
}

func allValid(parts []json.RawMessage) bool {
	for _, part := range parts {
		if !json.Valid(part) {
			return false
		}
	}
	return true
}
