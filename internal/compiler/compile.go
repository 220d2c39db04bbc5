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
	values, problems := bind(source, template.Parameters, decoded.Values)
	if len(problems) > 0 {
		c.problems = append(c.problems, problems...)
		return
	}
	if other, ok := c.hosts[decoded.Host]; ok {
		c.refuse(source.Name, "host", classifier.CodeSourceDuplicate, "host %q belongs to %s", decoded.Host, other)
		return
	}
	c.hosts[decoded.Host] = source.Name
	c.expand(source, decoded, template, values)
}

// expand fills a template in for one account.
func (c *compilation) expand(source Source, decoded accountSource, template Template, values map[string]any) {
	count := len(c.problems)
	ranks := expandList[Rank](c, source.Name, "ranks", template.Ranks, values)
	services := expandList[Service](c, source.Name, "services", template.Services, values)
	calls := expandList[Call](c, source.Name, "calls", template.Calls, values)
	if len(c.problems) > count {
		return
	}
	account := Account{
		Name: decoded.Account, Host: decoded.Host, Template: decoded.Template, Ranks: ranks, Calls: calls,
		Services: make([]string, 0, len(services)),
	}
	for i := range services {
		sort.Strings(services[i].Zones)
		account.Services = append(account.Services, services[i].Name)
	}
	sort.Slice(ranks, func(i, j int) bool { return ranks[i].Name < ranks[j].Name })
	sort.Slice(calls, func(i, j int) bool { return calls[i].Name < calls[j].Name })
	sort.Strings(account.Services)
	c.checkAccount(source.Name, &account)
	c.addServices(source.Name, services)
	c.accounts = append(c.accounts, account)
}

func expandList[T any](c *compilation, object, field string, items []any, values map[string]any) []T {
	result := make([]T, 0, len(items))
	for i, item := range items {
		path := fmt.Sprintf("%s[%d]", field, i)
		tree, err := substitute(item, values)
		if err != nil {
			c.refuse(object, path, classifier.CodeSourceReference, "%v", err)
			continue
		}
		var value T
		if problem := decodeStrict(object, path, tree, &value); problem != nil {
			c.problems = append(c.problems, *problem)
			continue
		}
		problems := checkFields(object, path, value)
		c.problems = append(c.problems, problems...)
		result = append(result, value)
	}
	return result
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

// checkAccount checks names and references inside one account. Its lists are sorted by name.
func (c *compilation) checkAccount(object string, account *Account) {
	share := 0
	orders := make(map[int]string)
	for i := range account.Ranks {
		rank := &account.Ranks[i]
		share += rank.Share
		if i > 0 && account.Ranks[i-1].Name == rank.Name {
			c.refuse(object, "ranks."+rank.Name, classifier.CodeSourceDuplicate, "rank is declared twice")
		}
		if other, ok := orders[rank.Order]; ok {
			c.refuse(object, "ranks."+rank.Name+".order", classifier.CodeSourceDuplicate,
				"order %d belongs to rank %q", rank.Order, other)
		}
		orders[rank.Order] = rank.Name
	}
	if share > 100 {
		c.refuse(object, "ranks", classifier.CodeSourceInvalid, "shares add up to %d percent", share)
	}
	for i := 1; i < len(account.Services); i++ {
		if account.Services[i-1] == account.Services[i] {
			c.refuse(object, "services."+account.Services[i], classifier.CodeSourceDuplicate, "service is declared twice")
		}
	}
	c.checkCalls(object, account)
}

func (c *compilation) checkCalls(object string, account *Account) {
	routes := make(map[string]string)
	for i := range account.Calls {
		call := &account.Calls[i]
		field := "calls." + call.Name
		if i > 0 && account.Calls[i-1].Name == call.Name {
			c.refuse(object, field, classifier.CodeSourceDuplicate, "call is declared twice")
		}
		route := call.Method + " " + call.Path
		if other, ok := routes[route]; ok {
			c.refuse(object, field+".path", classifier.CodeSourceDuplicate, "call %q has the same method and path", other)
		}
		routes[route] = call.Name
		if account.Rank(call.Rank) == nil {
			c.refuse(object, field+".rank", classifier.CodeSourceReference, "rank %q does not exist", call.Rank)
		}
		if _, ok := slices.BinarySearch(account.Services, call.Service); !ok {
			c.refuse(object, field+".service", classifier.CodeSourceReference, "service %q does not exist", call.Service)
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
