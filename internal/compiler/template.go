package compiler

import (
	"fmt"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// Template is a decoded template source. Its lists may contain references to parameters.
type Template struct {
	Template   string      `json:"template"   validate:"required,name"`
	Parameters []Parameter `json:"parameters" validate:"max=100,dive"`
	Ranks      []any       `json:"ranks"      validate:"min=1,max=16"`
	Services   []any       `json:"services"   validate:"min=1,max=1000"`
	Calls      []any       `json:"calls"      validate:"max=1000"`
}

// accountSource is a decoded client account source.
type accountSource struct {
	Account  string         `json:"account"  validate:"required,name"`
	Template string         `json:"template" validate:"required,name"`
	Host     string         `json:"host"     validate:"required,host"`
	Values   map[string]any `json:"values"   validate:"max=100"`
}

func decodeTemplate(source Source) (Template, []Problem) {
	var template Template
	tree, problem := decodeTree(source)
	if problem != nil {
		return template, []Problem{*problem}
	}
	if problem := decodeStrict(source.Name, "", tree, &template); problem != nil {
		return template, []Problem{*problem}
	}
	problems := checkFields(source.Name, "", template)
	if template.Template != strings.TrimPrefix(source.Name, TemplatePrefix) {
		problems = append(problems, Problem{
			Object: source.Name, Field: "template", Code: classifier.CodeSourceInvalid,
			Reason: fmt.Sprintf("name %q differs from the name of the source", template.Template),
		})
	}
	return template, append(problems, checkParameters(source.Name, &template)...)
}

func checkParameters(object string, template *Template) []Problem {
	var problems []Problem
	declared := make(map[string]bool, len(template.Parameters))
	for i := range template.Parameters {
		parameter := &template.Parameters[i]
		field := fmt.Sprintf("parameters[%d]", i)
		if declared[parameter.Name] {
			problems = append(problems, Problem{
				Object: object, Field: field, Code: classifier.CodeSourceDuplicate,
				Reason: fmt.Sprintf("parameter %q is declared twice", parameter.Name),
			})
		}
		declared[parameter.Name] = true
		if parameter.Default == nil {
			continue
		}
		if reason := parameter.check(parameter.Default); reason != "" {
			problems = append(problems, Problem{
				Object: object, Field: field + ".default", Code: classifier.CodeSourceInvalid, Reason: reason,
			})
		}
	}
	for _, name := range references([]any{template.Ranks, template.Services, template.Calls}) {
		if !declared[name] {
			problems = append(problems, Problem{
				Object: object, Code: classifier.CodeSourceReference,
				Reason: fmt.Sprintf("reference to unknown parameter %q", name),
			})
		}
	}
	return problems
}

func decodeAccount(source Source) (accountSource, []Problem) {
	var account accountSource
	tree, problem := decodeTree(source)
	if problem != nil {
		return account, []Problem{*problem}
	}
	if names := references(tree); len(names) > 0 {
		return account, []Problem{{
			Object: source.Name, Code: classifier.CodeSourceReference,
			Reason: fmt.Sprintf("a client account may not refer to parameter %q", names[0]),
		}}
	}
	if problem := decodeStrict(source.Name, "", tree, &account); problem != nil {
		return account, []Problem{*problem}
	}
	problems := checkFields(source.Name, "", account)
	if account.Account != strings.TrimPrefix(source.Name, AccountPrefix) {
		problems = append(problems, Problem{
			Object: source.Name, Field: "account", Code: classifier.CodeSourceInvalid,
			Reason: fmt.Sprintf("name %q differs from the name of the source", account.Account),
		})
	}
	return account, problems
}
