package administrator

import (
	"regexp"
	"slices"

	"github.com/jasmineproxy/jasmineproxy/internal/auditor"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
)

var accountPattern = regexp.MustCompile(`account\.[a-z0-9-]+`)

// redactor hides the names and objects of other client accounts from one account, since accounts that share a
// platform may be competitors.
type redactor struct {
	own string // the account's source
}

func newRedactor(p Principal) redactor {
	return redactor{own: p.source()}
}

func (d redactor) text(text string) string {
	return accountPattern.ReplaceAllStringFunc(text, func(name string) string {
		if name == d.own {
			return name
		}
		return "another account"
	})
}

func (d redactor) failure(failure *ReplyError) {
	failure.Subject, failure.Field, failure.Reason = d.text(failure.Subject), d.text(failure.Field), d.text(failure.Reason)
	failure.Problems, failure.Conflicts = d.problems(failure.Problems), d.conflicts(failure.Conflicts)
}

func (d redactor) refusal(refusal *publisher.Refusal) {
	refusal.Subject, refusal.Field, refusal.Reason = d.text(refusal.Subject), d.text(refusal.Field), d.text(refusal.Reason)
	refusal.Problems, refusal.Conflicts = d.problems(refusal.Problems), d.conflicts(refusal.Conflicts)
}

func (d redactor) entry(entry *auditor.Entry) {
	entry.Subject, entry.Reason = d.text(entry.Subject), d.text(entry.Reason)
}

func (d redactor) problems(problems []compiler.Problem) []compiler.Problem {
	var own []compiler.Problem
	for _, problem := range problems {
		if problem.Object == d.own {
			problem.Reason = d.text(problem.Reason)
			own = append(own, problem)
		}
	}
	return own
}

func (d redactor) conflicts(conflicts []publisher.Conflict) []publisher.Conflict {
	return slices.DeleteFunc(slices.Clone(conflicts), func(conflict publisher.Conflict) bool {
		return conflict.Name != d.own
	})
}
