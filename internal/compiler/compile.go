package compiler

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// Compile turns sources into a view without a version. A view with problems must not be used.
func Compile(sources []Source) (View, []Problem) {
	return NewCache().Compile(sources)
}

func compile(sources []Source, cache *Cache) (View, []Problem) {
	state := compilation{
		cache:     cache,
		sources:   make(map[string]Source),
		templates: make(map[string]Template),
		broken:    make(map[string]bool),
		hosts:     make(map[string]string),
		owners:    make(map[string]string),
		services:  make(map[string]Service),
	}
	sorted := slices.Clone(sources)
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Name < sorted[j].Name })
	for _, source := range sorted {
		if len(source.Value) > 0 && strings.HasPrefix(source.Name, TemplatePrefix) {
			state.addTemplate(source)
		}
	}
	for _, source := range sorted {
		if len(source.Value) > 0 && !strings.HasPrefix(source.Name, TemplatePrefix) {
			state.addAccount(source)
		}
	}
	return state.finish()
}

// compilation collects the parts of a view.
type compilation struct {
	cache     *Cache
	sources   map[string]Source // of templates, by template name
	templates map[string]Template
	broken    map[string]bool    // templates with problems of their own
	hosts     map[string]string  // account by host
	owners    map[string]string  // source that first declared a service
	services  map[string]Service // by name
	accounts  []Account
	problems  []Problem
}

func (c *compilation) refuse(object, field string, code classifier.Code, format string, arguments ...any) {
	c.problems = append(c.problems, Problem{
		Object: object, Field: field, Code: code, Reason: fmt.Sprintf(format, arguments...),
	})
}

func (c *compilation) addTemplate(source Source) {
	if !IsSourceName(source.Name) {
		c.refuse(source.Name, "", classifier.CodeSourceInvalid, "source name is not valid")
		return
	}
	name := strings.TrimPrefix(source.Name, TemplatePrefix)
	c.sources[name] = source
	template, problems := c.cache.template(source)
	c.templates[name] = template
	c.broken[name] = len(problems) > 0
	c.problems = append(c.problems, problems...)
}

func (c *compilation) addAccount(source Source) {
	if !IsSourceName(source.Name) {
		c.refuse(source.Name, "", classifier.CodeSourceInvalid, "source name is not valid")
		return
	}
	decoded, problems := c.cache.account(source)
	c.problems = append(c.problems, problems...)
	if len(problems) > 0 {
		return
	}
	template, ok := c.templates[decoded.Template]
	if !ok {
		c.refuse(source.Name, "template", classifier.CodeSourceReference, "template %q does not exist", decoded.Template)
		return
	}
	if c.broken[decoded.Template] {
		return
	}
	if other, ok := c.hosts[decoded.Host]; ok {
		c.refuse(source.Name, "host", classifier.CodeSourceDuplicate, "host %q belongs to %s", decoded.Host, other)
		return
	}
	c.hosts[decoded.Host] = source.Name
	result := c.cache.expand(source, c.sources[decoded.Template], decoded, template)
	c.problems = append(c.problems, result.problems...)
	if len(result.problems) > 0 {
		return
	}
	c.addServices(source.Name, result.services)
	c.accounts = append(c.accounts, result.account)
}

// addServices merges an account's services; a service that several accounts declare must be the same in all.
func (c *compilation) addServices(object string, services []Service) {
	for _, service := range services {
		known, ok := c.services[service.Name]
		if !ok {
			c.services[service.Name] = service
			c.owners[service.Name] = object
			continue
		}
		if !reflect.DeepEqual(known, service) {
			c.refuse(object, "services."+service.Name, classifier.CodeSourceDuplicate,
				"service differs from the one declared by %s", c.owners[service.Name])
		}
	}
}

func (c *compilation) finish() (View, []Problem) {
	if len(c.problems) > 0 {
		return View{}, c.problems
	}
	view := View{Accounts: c.accounts, Services: make([]Service, 0, len(c.services))}
	for _, name := range sortedKeys(c.services) {
		view.Services = append(view.Services, c.services[name])
	}
	slices.SortFunc(view.Accounts, func(a, b Account) int { return cmp.Compare(a.Name, b.Name) })
	manifest, _, err := Sections(&view)
	if err != nil {
		return View{}, []Problem{{Code: classifier.CodeOf(err), Reason: err.Error()}}
	}
	view.Digest = ManifestDigest(manifest)
	return view, nil
}
