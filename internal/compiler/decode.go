package compiler

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/token"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// Markers replace the braces of ${name} before the YAML is parsed, since a plain scalar inside a flow mapping must not
// contain braces. Both are private-use characters, and sources that contain them are refused.
const (
	openMarker  = "\uE000"
	closeMarker = "\uE001"
)

// Limits of a source that is passed to the YAML parser. The parser is recursive, and its run time grows quadratically
// with the nesting on one line and with the keys of one mapping: 200 KB of nested "- " took 17 s without these limits.
const (
	maxDepth  = 32
	maxTokens = 50_000
)

var referencePattern = regexp.MustCompile(`\$\{([a-z0-9-]+)\}`)

// decodeTree parses a source into maps, lists and scalars.
func decodeTree(source Source) (map[string]any, *Problem) {
	refuse := func(code classifier.Code, format string, arguments ...any) (map[string]any, *Problem) {
		return nil, &Problem{Object: source.Name, Code: code, Reason: fmt.Sprintf(format, arguments...)}
	}
	if len(source.Value) > MaxSourceBytes {
		return refuse(classifier.CodeSourceTooLarge, "source has %d bytes, the limit is %d",
			len(source.Value), MaxSourceBytes)
	}
	text := string(source.Value)
	if strings.Contains(text, openMarker) || strings.Contains(text, closeMarker) {
		return refuse(classifier.CodeSourceDecode, "source contains a reserved character")
	}
	text = referencePattern.ReplaceAllString(text, openMarker+"$1"+closeMarker)
	if err := checkTokens(text); err != nil {
		return refuse(classifier.CodeSourceDecode, "%v", err)
	}
	var tree map[string]any
	if err := yaml.Unmarshal([]byte(text), &tree); err != nil {
		return refuse(classifier.CodeSourceDecode, "%s", restoreReferences(firstLine(err.Error())))
	}
	if err := checkKeys(tree); err != nil {
		return refuse(classifier.CodeSourceDecode, "%v", err)
	}
	return tree, nil
}

// checkTokens refuses sources with several documents, deep nesting or too many tokens. It also refuses aliases, because
// a short source with aliases can expand without bound.
func checkTokens(text string) error {
	tokens := lexer.Tokenize(text)
	if len(tokens) > maxTokens {
		return fmt.Errorf("source has %d tokens, the limit is %d", len(tokens), maxTokens)
	}
	var depth nesting
	for i, item := range tokens {
		switch item.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType, token.TagType:
			return fmt.Errorf("line %d: anchors, aliases and tags are not allowed", item.Position.Line)
		case token.DocumentHeaderType, token.DocumentEndType:
			if i > 0 {
				return fmt.Errorf("line %d: a source must be a single document", item.Position.Line)
			}
		}
		if depth.add(item) > maxDepth || item.Position.IndentNum > 8*maxDepth {
			return fmt.Errorf("line %d: nested deeper than %d levels", item.Position.Line, maxDepth)
		}
	}
	return nil
}

// nesting counts the open flow collections and the block collections that start on the current line.
type nesting struct {
	flow, line, block int
}

// add counts a token and returns the larger of both counts.
func (n *nesting) add(item *token.Token) int {
	if item.Position.Line != n.line {
		n.line, n.block = item.Position.Line, 0
	}
	switch item.Type {
	case token.MappingStartType, token.SequenceStartType:
		n.flow++
	case token.MappingEndType, token.SequenceEndType:
		n.flow--
	case token.SequenceEntryType, token.MappingKeyType, token.MappingValueType:
		if n.flow == 0 {
			n.block++
		}
	}
	return max(n.flow, n.block)
}

// checkKeys refuses keys with capital letters, since encoding/json ignores case when it matches a key with a field.
func checkKeys(node any) error {
	switch node := node.(type) {
	case map[string]any:
		for key, value := range node {
			if key != strings.ToLower(key) {
				return fmt.Errorf("key %q is not in lower case", key)
			}
			if err := checkKeys(value); err != nil {
				return err
			}
		}
	case []any:
		for _, value := range node {
			if err := checkKeys(value); err != nil {
				return err
			}
		}
	}
	return nil
}

// decodeStrict decodes a tree of maps, lists and scalars into the struct that target points to, and refuses unknown
// fields. A problem contains object, the name of the source, and the path of the field, which starts with prefix.
func decodeStrict(object, prefix string, tree, target any) *Problem {
	content, err := json.Marshal(tree)
	if err != nil {
		return &Problem{Object: object, Field: prefix, Reason: err.Error(), Code: classifier.CodeSourceDecode}
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	err = decoder.Decode(target)
	if err == nil {
		return nil
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		reason := fmt.Sprintf("%s is not of type %s", mismatch.Value, mismatch.Type)
		return &Problem{
			Object: object, Field: join(prefix, mismatch.Field), Reason: reason, Code: classifier.CodeSourceDecode,
		}
	}
	field := ""
	if _, name, ok := strings.Cut(err.Error(), "unknown field "); ok {
		field = strings.Trim(name, `"`)
	}
	return &Problem{
		Object: object, Field: join(prefix, field), Reason: strings.TrimPrefix(err.Error(), "json: "),
		Code: classifier.CodeSourceDecode,
	}
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

// restoreReferences replaces the markers in text by the braces that the author wrote.
func restoreReferences(text string) string {
	return strings.NewReplacer(openMarker, "${", closeMarker, "}").Replace(text)
}
