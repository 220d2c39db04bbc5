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

// document is a settings file with the syntax tree that gives the line of each field.
type document struct {
	name    string
	content []byte
	file    *ast.File
}

// decode overwrites settings with the values in the file. It refuses unknown and repeated fields and a second document.
func (d *document) decode(settings *Settings) error {
	if len(bytes.TrimSpace(d.content)) == 0 {
		return nil
	}
	file, err := parser.ParseBytes(d.content, 0)
	if err != nil {
		return FieldErrors{d.syntaxError(err)}
	}
	d.file = file
	decoder := yaml.NewDecoder(bytes.NewReader(d.content), yaml.Strict())
	if err := decoder.Decode(settings); err != nil && !errors.Is(err, io.EOF) {
		return FieldErrors{d.syntaxError(err)}
	}
	if len(file.Docs) > 1 {
		location := fmt.Sprintf("%s:%d", d.name, lineNumber(file.Docs[1]))
		return FieldErrors{newFieldError(location, "", "a second document follows the first")}
	}
	return d.rejectFractions(settings)
}

// rejectFractions refuses a fraction in an integer field, because the YAML library would truncate it.
func (d *document) rejectFractions(settings *Settings) error {
	var problems FieldErrors
	for _, field := range Fields() {
		switch reflect.ValueOf(settings).Elem().FieldByIndex(field.index).Kind() {
		case reflect.Int, reflect.Int64:
		default:
			continue
		}
		if node, ok := d.node(field.Path).(*ast.FloatNode); ok {
			problems = append(problems,
				newFieldError(d.location(field.Path), field.Path, node.String()+" is not a whole number"))
		}
	}
	if len(problems) > 0 {
		return problems
	}
	return nil
}

// node returns the syntax node of a field's value, or nil if the file does not set the field.
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

// syntaxError converts an error of the YAML library. The result names the file, and the line and text where the library
// reports them.
func (d *document) syntaxError(err error) *classifier.Error {
	var yamlError yaml.Error
	if !errors.As(err, &yamlError) || yamlError.GetToken() == nil {
		return newFieldError(d.name, "", firstLine(err.Error()))
	}
	token := yamlError.GetToken()
	return newFieldError(fmt.Sprintf("%s:%d", d.name, token.Position.Line), token.Value, yamlError.GetMessage())
}

// location returns the file and line of a field, or of the closest enclosing field in the file, or line 1.
func (d *document) location(path string) string {
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

func lineNumber(document *ast.DocumentNode) int {
	if token := document.GetToken(); token != nil {
		return token.Position.Line
	}
	return 1
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}
