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

// Compile compiles sources into a view whose Version is not set. If it returns problems, the view must not be used.
func Compile(sources []Source) (View, []Problem) {
	return NewCache().Compile(sources)
}

func compile(sources []Source, cache *Cache) (View, []Problem) {
	state := compilation{
		cache:      cache,
		sources:    make(map[string]Source),
		templates:  make(map[string]Template),
		invalid:    make(map[string]bool),
		hosts:      make(map[string]string),
		declaredBy: make(map[string]string),
		services:   make(map[string]Service),
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
	return state.buildView()
}

// compilation collects the parts of a view while its sources are compiled.
type compilation struct {
	cache      *Cache
	sources    map[string]Source // template sources, by template name
	templates  map[string]Template
	invalid    map[string]bool    // templates that have problems, by template name
	hosts      map[string]string  // name of the account's source, by host
	declaredBy map[string]string  // name of the source that first declared a service, by service name
	services   map[string]Service // by name
	accounts   []Account
	problems   []Problem
}

func (c *compilation) addProblem(object, field string, code classifier.Code, format string, arguments ...any) {
	c.problems = append(c.problems, Problem{
		Object: object, Field: field, Code: code, Reason: fmt.Sprintf(format, arguments...),
	})
}

func (c *compilation) addTemplate(source Source) {
	if !IsSourceName(source.Name) {
		c.addProblem(source.Name, "", classifier.CodeSourceInvalid, "source name is not valid")
		return
	}
	name := strings.TrimPrefix(source.Name, TemplatePrefix)
	c.sources[name] = source
	template, problems := c.cache.template(source)
	c.templates[name] = template
	c.invalid[name] = len(problems) > 0
	c.problems = append(c.problems, problems...)
}

// addAccount decodes the source of an account and adds the account, unless the source or its template has problems.
func (c *compilation) addAccount(source Source) {
	if !IsSourceName(source.Name) {
		c.addProblem(source.Name, "", classifier.CodeSourceInvalid, "source name is not valid")
		return
	}
	decoded, problems := c.cache.account(source)
	c.problems = append(c.problems, problems...)
	if len(problems) > 0 {
		return
	}
	template, ok := c.templates[decoded.Template]
	if !ok {
		c.addProblem(source.Name, "template", classifier.CodeSourceReference, "template %q does not exist", decoded.Template)
		return
	}
	if c.invalid[decoded.Template] {
		return
	}
	if other, ok := c.hosts[decoded.Host]; ok {
		c.addProblem(source.Name, "host", classifier.CodeSourceDuplicate, "host %q belongs to %s", decoded.Host, other)
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

// addServices adds the services of an account. A service that several accounts declare must be the same in all of them.
func (c *compilation) addServices(object string, services []Service) {
	for _, service := range services {
		first, ok := c.services[service.Name]
		if !ok {
			c.services[service.Name] = service
			c.declaredBy[service.Name] = object
			continue
		}
		if !reflect.DeepEqual(first, service) {
			c.addProblem(object, "services."+service.Name, classifier.CodeSourceDuplicate,
				"service differs from the one declared by %s", c.declaredBy[service.Name])
		}
	}
}

// buildView returns the view of all accounts added, or the problems if there are any.
func (c *compilation) buildView() (View, []Problem) {
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
