package compiler

import (
	"crypto/sha256"
	"maps"
)

// Cache compiles sources as Compile does and caches the decoded sources between compilations, since parsing YAML takes
// most of the time and one publication compiles nearly the same sources several times. It is not safe for concurrent
// use.
type Cache struct {
	templates map[sourceKey]decoded[Template]
	accounts  map[sourceKey]decoded[accountSource]
	expanded  map[[2]sourceKey]*expansion // by the sources of the account and the template
	used      map[sourceKey]bool          // sources of the current compilation
}

// sourceKey identifies a source by its name and content.
type sourceKey struct {
	name string
	sum  [sha256.Size]byte
}

// decoded is the result of decoding one source.
type decoded[T any] struct {
	value    T
	problems []Problem
}

// cacheSlack is the number of unused entries above which the cache evicts them, so that compiling one or two refused
// sets of edits does not empty the cache.
const cacheSlack = 64

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{
		templates: make(map[sourceKey]decoded[Template]), accounts: make(map[sourceKey]decoded[accountSource]),
		expanded: make(map[[2]sourceKey]*expansion),
	}
}

// Compile compiles sources into a view whose Version is not set. If it returns problems, the view must not be used.
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
	return decodeCached(c.templates, c.used, source, decodeTemplate)
}

func (c *Cache) account(source Source) (accountSource, []Problem) {
	return decodeCached(c.accounts, c.used, source, decodeAccount)
}

// decodeCached returns the cached result of decoding a source, or decodes and caches it. It marks the source as used.
func decodeCached[T any](
	cached map[sourceKey]decoded[T], used map[sourceKey]bool, source Source, decode func(Source) (T, []Problem),
) (T, []Problem) {
	key := sourceKeyOf(source)
	used[key] = true
	entry, ok := cached[key]
	if !ok {
		entry.value, entry.problems = decode(source)
		cached[key] = entry
	}
	return entry.value, entry.problems
}

func dropUnused[T any](cached map[sourceKey]decoded[T], used map[sourceKey]bool) {
	maps.DeleteFunc(cached, func(key sourceKey, _ decoded[T]) bool { return !used[key] })
}

// expand returns the cached expansion of an account, or computes and caches it.
func (c *Cache) expand(account, template Source, decodedAccount accountSource, decodedTemplate Template) *expansion {
	keys := [2]sourceKey{sourceKeyOf(account), sourceKeyOf(template)}
	result, ok := c.expanded[keys]
	if !ok {
		result = expand(account, decodedAccount, decodedTemplate)
		c.expanded[keys] = result
	}
	return result
}

func sourceKeyOf(source Source) sourceKey {
	return sourceKey{name: source.Name, sum: sha256.Sum256(source.Value)}
}
