package compiler

import (
	"crypto/sha256"
	"maps"
)

// Cache compiles like Compile and keeps decoded sources from one compilation to the next, since parsing YAML takes
// most of the time and one publication compiles nearly the same sources several times. It is not safe for concurrent
// use.
type Cache struct {
	templates map[sourceKey]decoded[Template]
	accounts  map[sourceKey]decoded[accountSource]
	expanded  map[[2]sourceKey]*expansion // by account and template
	used      map[sourceKey]bool          // in the current compilation
}

// sourceKey identifies a source by its name and content.
type sourceKey struct {
	name string
	sum  [sha256.Size]byte
}

// decoded is what decoding a source gave.
type decoded[T any] struct {
	value    T
	problems []Problem
}

// cacheSlack is how many sources beyond those of the last compilation are kept, so that a refused set or two do not
// empty the cache.
const cacheSlack = 64

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{
		templates: make(map[sourceKey]decoded[Template]), accounts: make(map[sourceKey]decoded[accountSource]),
		expanded: make(map[[2]sourceKey]*expansion),
	}
}

// Compile turns sources into a view without a version. A view with problems must not be used.
func (c *Cache) Compile(sources []Source) (View, []Problem) {
	c.used = make(map[sourceKey]bool, len(sources))
	view, problems := compile(sources, c)
	if len(c.templates)+len(c.accounts) > len(c.used)+cacheSlack || len(c.expanded) > len(c.used)+cacheSlack {
		dropUnused(c.templates, c.used)
		dropUnused(c.accounts, c.used)
		for keys := range c.expanded {
			if !c.used[keys[0]] || !c.used[keys[1]] {
				delete(c.expanded, keys)
			}
		}
	}
	return view, problems
}

func (c *Cache) template(source Source) (Template, []Problem) {
	return decodeOnce(c.templates, c.used, source, decodeTemplate)
}

func (c *Cache) account(source Source) (accountSource, []Problem) {
	return decodeOnce(c.accounts, c.used, source, decodeAccount)
}

// decodeOnce returns the known result of decoding a source, or decodes it, and notes that it is used.
func decodeOnce[T any](
	known map[sourceKey]decoded[T], used map[sourceKey]bool, source Source, decode func(Source) (T, []Problem),
) (T, []Problem) {
	key := keyOf(source)
	used[key] = true
	found, ok := known[key]
	if !ok {
		found.value, found.problems = decode(source)
		known[key] = found
	}
	return found.value, found.problems
}

func dropUnused[T any](known map[sourceKey]decoded[T], used map[sourceKey]bool) {
	maps.DeleteFunc(known, func(key sourceKey, _ decoded[T]) bool { return !used[key] })
}

func (c *Cache) expand(account, template Source, decoded accountSource, filled Template) *expansion {
	keys := [2]sourceKey{keyOf(account), keyOf(template)}
	known, ok := c.expanded[keys]
	if !ok {
		known = expand(account, decoded, filled)
		c.expanded[keys] = known
	}
	return known
}

func keyOf(source Source) sourceKey {
	return sourceKey{name: source.Name, sum: sha256.Sum256(source.Value)}
}
