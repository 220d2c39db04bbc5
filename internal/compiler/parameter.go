package compiler

import (
	"fmt"
	"regexp"
	"slices"
	"sort"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// Types of parameters.
const (
	typeInt    = "int"
	typeString = "string"
	typeList   = "list"
)

// Parameter declares a value that a client account sets. Min and Max limit an int, or the length of a string (in bytes)
// or list.
type Parameter struct {
	Name    string `json:"name"    validate:"required,name"`
	Type    string `json:"type"    validate:"oneof=int string list"`
	Default any    `json:"default"`
	Min     *int64 `json:"min"`
	Max     *int64 `json:"max"`
}

var markerPattern = regexp.MustCompile(openMarker + `([a-z0-9-]+)` + closeMarker)

// check returns the reason why value is not valid for the parameter, or an empty string.
func (p *Parameter) check(value any) string {
	size := int64(0)
	switch p.Type {
	case typeInt:
		number, ok := toInt(value)
		if !ok {
			return fmt.Sprintf("value %v is not an int", value)
		}
		size = number
	case typeString:
		text, ok := value.(string)
		if !ok {
			return fmt.Sprintf("value %v is not a string", value)
		}
		size = int64(len(text))
	case typeList:
		items, ok := value.([]any)
		if !ok {
			return fmt.Sprintf("value %v is not a list", value)
		}
		size = int64(len(items))
	}
	if p.Min != nil && size < *p.Min {
		return fmt.Sprintf("%d is below the minimum %d", size, *p.Min)
	}
	if p.Max != nil && size > *p.Max {
		return fmt.Sprintf("%d is above the maximum %d", size, *p.Max)
	}
	return ""
}

func toInt(value any) (int64, bool) {
	switch number := value.(type) {
	case int64:
		return number, true
	case uint64:
		return int64(number), number < 1<<62
	case int:
		return int64(number), true
	case float64:
		return int64(number), number == float64(int64(number))
	}
	return 0, false
}

// bind returns the account's values, with defaults for those that are not set, and checks each of them.
func bind(account Source, parameters []Parameter, values map[string]any) (map[string]any, []Problem) {
	bound := make(map[string]any, len(parameters))
	var problems []Problem
	addProblem := func(name string, code classifier.Code, reason string) {
		problems = append(problems, Problem{Object: account.Name, Field: join("values", name), Reason: reason, Code: code})
	}
	declared := make(map[string]bool, len(parameters))
	for i := range parameters {
		parameter := &parameters[i]
		declared[parameter.Name] = true
		value, ok := values[parameter.Name]
		if !ok {
			value = parameter.Default
		}
		if value == nil {
			addProblem(parameter.Name, classifier.CodeSourceInvalid, "the template requires a value")
			continue
		}
		if reason := parameter.check(value); reason != "" {
			addProblem(parameter.Name, classifier.CodeSourceInvalid, reason)
			continue
		}
		bound[parameter.Name] = value
	}
	for _, name := range sortedKeys(values) {
		if !declared[name] {
			addProblem(name, classifier.CodeSourceReference, "the template declares no such parameter")
		}
	}
	return bound, problems
}

// substitute returns a copy of node with every reference replaced by its value. A scalar that consists of a single
// reference takes the type of the value.
func substitute(node any, values map[string]any) (any, error) {
	switch node := node.(type) {
	case map[string]any:
		result := make(map[string]any, len(node))
		for _, key := range sortedKeys(node) {
			value, err := substitute(node[key], values)
			if err != nil {
				return nil, err
			}
			result[key] = value
		}
		return result, nil
	case []any:
		result := make([]any, 0, len(node))
		for _, item := range node {
			value, err := substitute(item, values)
			if err != nil {
				return nil, err
			}
			result = append(result, value)
		}
		return result, nil
	case string:
		return substituteText(node, values)
	}
	return node, nil
}

func substituteText(text string, values map[string]any) (any, error) {
	matches := markerPattern.FindAllStringSubmatch(text, -1)
	for _, match := range matches {
		value, ok := values[match[1]]
		if !ok {
			return nil, fmt.Errorf("reference to unknown parameter %q", match[1])
		}
		if match[0] == text {
			return value, nil
		}
		if _, ok := value.([]any); ok {
			return nil, fmt.Errorf("list parameter %q must be the whole value", match[1])
		}
		text = strings.ReplaceAll(text, match[0], fmt.Sprint(value))
	}
	return text, nil
}

// references returns the names of all parameters that node refers to, sorted.
func references(node any) []string {
	var names []string
	switch node := node.(type) {
	case map[string]any:
		for _, value := range node {
			names = append(names, references(value)...)
		}
	case []any:
		for _, value := range node {
			names = append(names, references(value)...)
		}
	case string:
		for _, match := range markerPattern.FindAllStringSubmatch(node, -1) {
			names = append(names, match[1])
		}
	}
	sort.Strings(names)
	return slices.Compact(names)
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
