package compiler

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"sort"
)

// Difference is one field whose value differs between two views or sources. The value of an absent field is nil.
type Difference struct {
	Path   string `json:"path"`
	Before any    `json:"before"`
	After  any    `json:"after"`
}

// Diff returns the fields in which two views differ, except version and digest. Paths refer to the items of a list by
// name, as in accounts.ochre.calls.weigh.timeout.
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
	return diffNodes("", restoreTree(old), restoreTree(next), nil)
}

// viewTree converts the accounts and services of a view to maps, lists and scalars.
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

// restoreTree restores the references in all strings of a tree to what the author wrote.
func restoreTree(node any) any {
	switch node := node.(type) {
	case map[string]any:
		for key, value := range node {
			node[key] = restoreTree(value)
		}
	case []any:
		for i, value := range node {
			node[i] = restoreTree(value)
		}
	case string:
		return restoreReferences(node)
	}
	return node
}

// diffNodes appends the fields in which two trees differ to differences. The argument path is the path of both trees.
func diffNodes(path string, before, after any, differences []Difference) []Difference {
	old, oldOK := fieldsOf(before)
	next, nextOK := fieldsOf(after)
	if !oldOK || !nextOK {
		if reflect.DeepEqual(before, after) {
			return differences
		}
		return append(differences, Difference{Path: path, Before: before, After: after})
	}
	names := append(sortedKeys(old), sortedKeys(next)...)
	sort.Strings(names)
	for _, name := range slices.Compact(names) {
		differences = diffNodes(join(path, name), old[name], next[name], differences)
	}
	return differences
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
