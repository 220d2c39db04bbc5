package compiler

import (
	"fmt"
	"slices"
	"sort"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// expansion is the result of filling in a template for one account. It depends only on the sources of both, so that a
// Cache can reuse it.
type expansion struct {
	object   string // name of the account's source
	account  Account
	services []Service
	problems []Problem
}

func (e *expansion) addProblem(field string, code classifier.Code, format string, arguments ...any) {
	e.problems = append(e.problems, Problem{
		Object: e.object, Field: field, Code: code, Reason: fmt.Sprintf(format, arguments...),
	})
}

// expand fills in a template with the values of one account.
func expand(source Source, decoded accountSource, template Template) *expansion {
	e := &expansion{object: source.Name}
	values, problems := bind(source, template.Parameters, decoded.Values)
	if len(problems) > 0 {
		e.problems = problems
		return e
	}
	ranks := expandList[Rank](e, "ranks", template.Ranks, values)
	services := expandList[Service](e, "services", template.Services, values)
	calls := expandList[Call](e, "calls", template.Calls, values)
	if len(e.problems) > 0 {
		return e
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
	e.account, e.services = account, services
	e.checkAccount(&account)
	return e
}

// expandList fills in and decodes the items of a list of the template, and adds their problems to the expansion. The
// result lacks the items that cannot be decoded.
func expandList[T any](e *expansion, field string, items []any, values map[string]any) []T {
	result := make([]T, 0, len(items))
	for i, item := range items {
		path := fmt.Sprintf("%s[%d]", field, i)
		tree, err := substitute(item, values)
		if err != nil {
			e.addProblem(path, classifier.CodeSourceReference, "%v", err)
			continue
		}
		var value T
		if problem := decodeStrict(e.object, path, tree, &value); problem != nil {
			e.problems = append(e.problems, *problem)
			continue
		}
		e.problems = append(e.problems, checkFields(e.object, path, value)...)
		result = append(result, value)
	}
	return result
}

// checkAccount checks names and references inside one account, whose lists must be sorted by name.
func (e *expansion) checkAccount(account *Account) {
	totalShare := 0
	orders := make(map[int]string)
	for i := range account.Ranks {
		rank := &account.Ranks[i]
		totalShare += rank.Share
		if i > 0 && account.Ranks[i-1].Name == rank.Name {
			e.addProblem("ranks."+rank.Name, classifier.CodeSourceDuplicate, "rank is declared twice")
		}
		if other, ok := orders[rank.Order]; ok {
			e.addProblem("ranks."+rank.Name+".order", classifier.CodeSourceDuplicate,
				"order %d belongs to rank %q", rank.Order, other)
		}
		orders[rank.Order] = rank.Name
	}
	if totalShare > 100 {
		e.addProblem("ranks", classifier.CodeSourceInvalid, "shares add up to %d percent", totalShare)
	}
	for i := 1; i < len(account.Services); i++ {
		if account.Services[i-1] == account.Services[i] {
			e.addProblem("services."+account.Services[i], classifier.CodeSourceDuplicate, "service is declared twice")
		}
	}
	e.checkCalls(account)
}

// checkCalls checks the calls of an account and the ranks and services that they refer to.
func (e *expansion) checkCalls(account *Account) {
	routes := make(map[string]string)
	for i := range account.Calls {
		call := &account.Calls[i]
		field := "calls." + call.Name
		if i > 0 && account.Calls[i-1].Name == call.Name {
			e.addProblem(field, classifier.CodeSourceDuplicate, "call is declared twice")
		}
		route := call.Method + " " + call.Path
		if other, ok := routes[route]; ok {
			e.addProblem(field+".path", classifier.CodeSourceDuplicate, "call %q has the same method and path", other)
		}
		routes[route] = call.Name
		if account.Rank(call.Rank) == nil {
			e.addProblem(field+".rank", classifier.CodeSourceReference, "rank %q does not exist", call.Rank)
		}
		if _, ok := slices.BinarySearch(account.Services, call.Service); !ok {
			e.addProblem(field+".service", classifier.CodeSourceReference, "service %q does not exist", call.Service)
		}
	}
}
