package compiler

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"sort"
)

// Difference is one field that two views or sources do not share. An absent field has a nil value.
type Difference struct {
	Path   string `json:"path"`
	Before any    `json:"before"`
	After  any    `json:"after"`
}

// Diff returns the fields in which two views differ, except version and digest. Items of lists are
// addressed by their names, as in accounts.ochre.calls.weigh.timeout.
func Diff(before, after *View) []Difference {
	return diffNodes("", viewTree(before), viewTree(after), nil)
}

// DiffSources returns the fields in which two sources differ. A source that does not parse is compared as text.
func DiffSources(before, after []byte) []Difference {
	old, oldProblem := decodeTree(Source{Value: before})
	next, nextProblem := decodeTree(Source{Value: after})
	if oldProblem != nil || nextProblem != nil {
		return diffNodes("", string(before), string(after), nil)
	}
	return diffNodes("", showTree(old), showTree(next), nil)
}

func viewTree(view *View) any {
	if view == nil {
		return map[string]any{}
	}
	content, err := json.Marshal(map[string]any{"accounts": view.Accounts, "services": view.Services})
	if err != nil {
		return nil
	}
	var tree any
	if err := json.Unmarshal(content, &tree); err != nil {
		return nil
	}
	return tree
}

// showTree writes references to parameters the way the author wrote them.
func showTree(node any) any {
	switch node := node.(type) {
	case map[string]any:
		for key, value := range node {
			node[key] = showTree(value)
		}
	case []any:
		for i, value := range node {
			node[i] = showTree(value)
		}
	case string:
		return restore(node)
	}
	return node
}

func diffNodes(path string, before, after any, found []Difference) []Difference {
	old, oldOK := fieldsOf(before)
	next, nextOK := fieldsOf(after)
	if !oldOK || !nextOK {
		if reflect.DeepEqual(before, after) {
			return found
		}
		return append(found, Difference{Path: path, Before: before, After: after})
	}
	names := append(sortedKeys(old), sortedKeys(next)...)
	sort.Strings(names)
	for _, name := range slices.Compact(names) {
		found = diffNodes(join(path, name), old[name], next[name], found)
	}
	return found
}

// fieldsOf returns the children of a map, or of a list whose items all have distinct names.
func fieldsOf(node any) (map[string]any, bool) {
	switch node := node.(type) {
	case map[string]any:
		return node, true
	case []any:
		items := make(map[string]any, len(node))
		for _, item := range node {
			fields, ok := item.(map[string]any)
			if !ok {
				return nil, false
			}
			items[fmt.Sprint(fields["name"])] = item
		}
		return items, len(items) == len(node)
	}
	return nil, false
}
