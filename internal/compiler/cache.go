package compiler

import "crypto/sha256"

// Cache compiles like Compile and keeps decoded sources from one compilation to the next, since parsing YAML takes
// most of the time and one publication compiles nearly the same sources several times. It is not safe for concurrent
// use.
type Cache struct {
	templates map[sourceKey]decodedTemplate
	accounts  map[sourceKey]decodedAccount
	expanded  map[[2]sourceKey]*expansion // by account and template
	used      map[sourceKey]bool          // in the current compilation
}

// sourceKey identifies a source by its name and content.
type sourceKey struct {
	name string
	sum  [sha256.Size]byte
}

type decodedTemplate struct {
	template Template
	problems []Problem
}

type decodedAccount struct {
	account  accountSource
	problems []Problem
}

// cacheSlack is how many sources beyond those of the last compilation are kept, so that a refused set or two do not
// empty the cache.
const cacheSlack = 64

// NewCache returns an empty cache.
func NewCache() *Cache {
	return &Cache{
		templates: make(map[sourceKey]decodedTemplate), accounts: make(map[sourceKey]decodedAccount),
		expanded: make(map[[2]sourceKey]*expansion),
	}
}

// Compile turns sources into a view without a version. A view with problems must not be used.
func (c *Cache) Compile(sources []Source) (View, []Problem) {
	c.used = make(map[sourceKey]bool, len(sources))
	view, problems := compile(sources, c)
	if len(c.templates)+len(c.accounts) > len(c.used)+cacheSlack || len(c.expanded) > len(c.used)+cacheSlack {
		for key := range c.templates {
			if !c.used[key] {
				delete(c.templates, key)
			}
		}
		for key := range c.accounts {
			if !c.used[key] {
				delete(c.accounts, key)
			}
		}
		for keys := range c.expanded {
			if !c.used[keys[0]] || !c.used[keys[1]] {
				delete(c.expanded, keys)
			}
		}
	}
	return view, problems
}

func (c *Cache) template(source Source) (Template, []Problem) {
	key := keyOf(source)
	c.used[key] = true
	known, ok := c.templates[key]
	if !ok {
		known.template, known.problems = decodeTemplate(source)
		c.templates[key] = known
	}
	return known.template, known.problems
}

func (c *Cache) account(source Source) (accountSource, []Problem) {
	key := keyOf(source)
	c.used[key] = true
	known, ok := c.accounts[key]
	if !ok {
		known.account, known.problems = decodeAccount(source)
		c.accounts[key] = known
	}
	return known.account, known.problems
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
