package commander

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
)

var (
	// referencePattern matches a reference to a parameter, such as ${slots}.
	referencePattern = regexp.MustCompile(`\$\{([a-z0-9-]+)\}`)
	// segmentPattern matches one segment of a field's path: a key, a name or a bracketed index.
	segmentPattern = regexp.MustCompile(`[^.\[\]]+|\[\d+\]`)
	// linePattern matches the line number at the start of an error from the YAML parser or the compiler.
	linePattern = regexp.MustCompile(`^(?:\[(\d+):\d+\]|line (\d+):)`)
)

// locator finds the file and line of a problem in local sources.
type locator struct {
	files map[string]sourceFile // by source name
	roots map[string]ast.Node   // by source name; only sources that are valid YAML
}

func newLocator(files []sourceFile) *locator {
	l := &locator{files: make(map[string]sourceFile), roots: make(map[string]ast.Node)}
	for _, file := range files {
		l.files[file.name] = file
		// The YAML parser rejects the braces of a ${reference} inside a flow mapping. Replacing them keeps the line numbers.
		parsed, err := parser.ParseBytes([]byte(referencePattern.ReplaceAllString(file.value, "_${1}_")), 0)
		if err == nil && len(parsed.Docs) > 0 {
			l.roots[file.name] = parsed.Docs[0].Body
		}
	}
	return l
}

// place returns the "file:line" of a problem. A field that an account inherits from its template is located in the
// template's file. If the field is not found, place falls back to the nearest enclosing field, for a decoding problem
// to the last key of the field at any depth, and finally to line 1.
func (l *locator) place(problem compiler.Problem) string {
	if match := linePattern.FindStringSubmatch(problem.Reason); match != nil {
		return l.position(problem.Object, parseLine(match[1]+match[2]))
	}
	names := []string{problem.Object}
	if node := findPath(l.roots[problem.Object], []string{"template"}); node != nil {
		names = append(names, compiler.TemplatePrefix+node.GetToken().Value)
	}
	segments := segmentPattern.FindAllString(problem.Field, -1)
	for length := len(segments); length > 0; length-- {
		for _, name := range names {
			if node := findPath(l.roots[name], segments[:length]); node != nil {
				return l.position(name, node.GetToken().Position.Line)
			}
		}
	}
	if problem.Code == classifier.CodeSourceDecode && len(segments) > 0 {
		if node := findKey(l.roots[problem.Object], segments[len(segments)-1]); node != nil {
			return l.position(problem.Object, node.GetToken().Position.Line)
		}
	}
	return l.position(problem.Object, 1)
}

func (l *locator) position(name string, line int) string {
	file, ok := l.files[name]
	if !ok {
		return name
	}
	return fmt.Sprintf("%s:%d", file.path, line+file.lines)
}

// findPath follows a path from a node and returns nil if the path does not exist. A segment is a key of a mapping, or
// the bracketed index or the name of a list item.
func findPath(node ast.Node, segments []string) ast.Node {
	for _, segment := range segments {
		node = child(node, segment)
	}
	return node
}

func child(node ast.Node, segment string) ast.Node {
	switch node := node.(type) {
	case *ast.MappingNode:
		for _, pair := range node.Values {
			if keyOf(pair) == segment {
				return pair.Value
			}
		}
	case *ast.SequenceNode:
		for i, item := range node.Values {
			if segment == fmt.Sprintf("[%d]", i) {
				return item
			}
			if name := child(item, "name"); name != nil && name.GetToken().Value == segment {
				return item
			}
		}
	}
	return nil
}

// findKey returns the first occurrence of a key at any depth, or nil.
func findKey(node ast.Node, key string) ast.Node {
	switch node := node.(type) {
	case *ast.MappingNode:
		for _, pair := range node.Values {
			if keyOf(pair) == key {
				return pair.Key
			}
			if found := findKey(pair.Value, key); found != nil {
				return found
			}
		}
	case *ast.SequenceNode:
		for _, item := range node.Values {
			if found := findKey(item, key); found != nil {
				return found
			}
		}
	}
	return nil
}

func keyOf(pair *ast.MappingValueNode) string {
	return strings.Trim(pair.Key.String(), `"'`)
}

// parseLine converts the digits of a line number, and returns 1 if they do not fit an int.
func parseLine(digits string) int {
	line, err := strconv.Atoi(digits)
	if err != nil {
		return 1
	}
	return line
}
