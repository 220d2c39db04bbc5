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
	referencePattern = regexp.MustCompile(`\$\{([a-z0-9-]+)\}`)
	segmentPattern   = regexp.MustCompile(`[^.\[\]]+|\[\d+\]`)
	linePattern      = regexp.MustCompile(`^(?:\[(\d+):\d+\]|line (\d+):)`)
)

// locator finds the file and line of a problem in local sources.
type locator struct {
	files map[string]sourceFile // by name of the source
	roots map[string]ast.Node   // parsed sources that are valid YAML
}

func newLocator(files []sourceFile) *locator {
	l := &locator{files: make(map[string]sourceFile), roots: make(map[string]ast.Node)}
	for _, file := range files {
		l.files[file.name] = file
		// References are replaced, because braces do not parse inside a flow mapping. Lines stay the same.
		parsed, err := parser.ParseBytes([]byte(referencePattern.ReplaceAllString(file.value, "_${1}_")), 0)
		if err == nil && len(parsed.Docs) > 0 {
			l.roots[file.name] = parsed.Docs[0].Body
		}
	}
	return l
}

// place returns "file:line". Fields that a template gives to an account are found in the template's file.
func (l *locator) place(problem compiler.Problem) string {
	if match := linePattern.FindStringSubmatch(problem.Reason); match != nil {
		return l.format(problem.Object, toLine(match[1]+match[2]))
	}
	names := []string{problem.Object}
	if node := find(l.roots[problem.Object], []string{"template"}); node != nil {
		names = append(names, compiler.TemplatePrefix+node.GetToken().Value)
	}
	segments := segmentPattern.FindAllString(problem.Field, -1)
	for length := len(segments); length > 0; length-- {
		for _, name := range names {
			if node := find(l.roots[name], segments[:length]); node != nil {
				return l.format(name, node.GetToken().Position.Line)
			}
		}
	}
	if problem.Code == classifier.CodeSourceDecode && len(segments) > 0 {
		if node := search(l.roots[problem.Object], segments[len(segments)-1]); node != nil {
			return l.format(problem.Object, node.GetToken().Position.Line)
		}
	}
	return l.format(problem.Object, 1)
}

func (l *locator) format(name string, line int) string {
	file, ok := l.files[name]
	if !ok {
		return name
	}
	return fmt.Sprintf("%s:%d", file.path, line+file.lines)
}

// find walks from a node along keys, indexes in brackets and names of list items.
func find(node ast.Node, segments []string) ast.Node {
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

// search returns the first value with a key at any depth.
func search(node ast.Node, key string) ast.Node {
	switch node := node.(type) {
	case *ast.MappingNode:
		for _, pair := range node.Values {
			if keyOf(pair) == key {
				return pair.Key
			}
			if found := search(pair.Value, key); found != nil {
				return found
			}
		}
	case *ast.SequenceNode:
		for _, item := range node.Values {
			if found := search(item, key); found != nil {
				return found
			}
		}
	}
	return nil
}

func keyOf(pair *ast.MappingValueNode) string {
	return strings.Trim(pair.Key.String(), `"'`)
}

func toLine(digits string) int {
	line, err := strconv.Atoi(digits)
	if err != nil {
		return 1
	}
	return line
}
