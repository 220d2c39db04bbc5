package loader

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// document is a settings file and the lines of its fields.
type document struct {
	name    string
	content []byte
	file    *ast.File
}

// decode reads the file over the values that settings already has. It refuses unknown and repeated fields.
func (d *document) decode(settings *Settings) error {
	if len(bytes.TrimSpace(d.content)) == 0 {
		return nil
	}
	file, err := parser.ParseBytes(d.content, 0)
	if err != nil {
		return FieldErrors{d.syntaxProblem(err)}
	}
	d.file = file
	decoder := yaml.NewDecoder(bytes.NewReader(d.content), yaml.Strict())
	if err := decoder.Decode(settings); err != nil && !errors.Is(err, io.EOF) {
		return FieldErrors{d.syntaxProblem(err)}
	}
	if len(file.Docs) > 1 {
		place := fmt.Sprintf("%s:%d", d.name, lineOf(file.Docs[1]))
		return FieldErrors{problem(place, "", "a second document follows the first")}
	}
	return d.refuseFractions(settings)
}

// refuseFractions refuses a fraction in a field of whole numbers. The YAML library would cut it off.
func (d *document) refuseFractions(settings *Settings) error {
	var problems FieldErrors
	for _, field := range Fields() {
		switch reflect.ValueOf(settings).Elem().FieldByIndex(field.index).Kind() {
		case reflect.Int, reflect.Int64:
		default:
			continue
		}
		if node, ok := d.node(field.Path).(*ast.FloatNode); ok {
			problems = append(problems, problem(d.place(field.Path), field.Path, node.String()+" is not a whole number"))
		}
	}
	if len(problems) > 0 {
		return problems
	}
	return nil
}

// node returns the value of a field in the file, or nil.
func (d *document) node(path string) ast.Node {
	selector, err := yaml.PathString("$." + path)
	if err != nil {
		return nil
	}
	node, err := selector.FilterFile(d.file)
	if err != nil {
		return nil
	}
	return node
}

func (d *document) syntaxProblem(err error) *classifier.Error {
	var fault yaml.Error
	if !errors.As(err, &fault) || fault.GetToken() == nil {
		return problem(d.name, "", firstLine(err.Error()))
	}
	token := fault.GetToken()
	return problem(fmt.Sprintf("%s:%d", d.name, token.Position.Line), token.Value, fault.GetMessage())
}

// place returns the file and line of a field, or of the closest enclosing field that the file has, or line 1.
func (d *document) place(path string) string {
	for d.file != nil && path != "" {
		if node := d.node(path); node != nil && node.GetToken() != nil {
			return fmt.Sprintf("%s:%d", d.name, node.GetToken().Position.Line)
		}
		path = path[:max(strings.LastIndexByte(path, '.'), 0)]
	}
	switch {
	case d.name == "":
		return "settings"
	case d.file == nil:
		return d.name
	}
	return d.name + ":1"
}

func lineOf(document *ast.DocumentNode) int {
	if token := document.GetToken(); token != nil {
		return token.Position.Line
	}
	return 1
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}
