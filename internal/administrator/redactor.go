package administrator

import (
	"regexp"
	"slices"

	"github.com/jasmineproxy/jasmineproxy/internal/auditor"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
)

var accountPattern = regexp.MustCompile(`account\.[a-z0-9-]+`)

// redactor removes the names and objects of other client accounts from replies to one account, because accounts that
// share a platform may be competitors.
type redactor struct {
	visibleSource string // the only source whose name stays in a reply
}

func newRedactor(p Principal) redactor {
	return redactor{visibleSource: p.ownSource()}
}

func (d redactor) redactText(text string) string {
	return accountPattern.ReplaceAllStringFunc(text, func(name string) string {
		if name == d.visibleSource {
			return name
		}
		return "another account"
	})
}

func (d redactor) redactError(reply *ReplyError) {
	reply.Subject, reply.Field, reply.Reason = d.redactText(reply.Subject),
		d.redactText(reply.Field), d.redactText(reply.Reason)
	reply.Problems, reply.Conflicts = d.ownProblems(reply.Problems), d.ownConflicts(reply.Conflicts)
}

func (d redactor) redactRefusal(refusal *publisher.Refusal) {
	refusal.Subject, refusal.Field, refusal.Reason = d.redactText(refusal.Subject),
		d.redactText(refusal.Field), d.redactText(refusal.Reason)
	refusal.Problems, refusal.Conflicts = d.ownProblems(refusal.Problems), d.ownConflicts(refusal.Conflicts)
}

func (d redactor) redactEntry(entry *auditor.Entry) {
	entry.Subject, entry.Reason = d.redactText(entry.Subject), d.redactText(entry.Reason)
}

func (d redactor) ownProblems(problems []compiler.Problem) []compiler.Problem {
	var own []compiler.Problem
	for _, problem := range problems {
		if problem.Object == d.visibleSource {
			problem.Reason = d.redactText(problem.Reason)
			own = append(own, problem)
		}
	}
	return own
}

func (d redactor) ownConflicts(conflicts []publisher.Conflict) []publisher.Conflict {
	return slices.DeleteFunc(slices.Clone(conflicts), func(conflict publisher.Conflict) bool {
		return conflict.Name != d.visibleSource
	})
}
