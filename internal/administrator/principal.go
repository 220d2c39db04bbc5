package administrator

import (
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
)

// Principal is the authenticated sender of a request: an operator or a user of a client account.
type Principal struct {
	Name     string
	Account  string // empty for an operator
	Operator bool
}

// actor returns the name of the principal in the audit trail.
func (p *Principal) actor() string {
	switch {
	case p.Operator:
		return "operator:" + p.Name
	case p.Account != "":
		return compiler.AccountPrefix + p.Account + ":" + p.Name
	}
	return "unknown"
}

// ownSource returns the name of the only source that a principal of a client account may change.
func (p *Principal) ownSource() string {
	return compiler.AccountPrefix + p.Account
}

// requireAccess returns an error unless the principal may read and change a source.
func (p *Principal) requireAccess(source string) error {
	if p.Operator || source == p.ownSource() {
		return nil
	}
	return classifier.New(classifier.CodeTokenScope, source, "the token covers %s only", p.ownSource())
}

// requireOperator returns an error unless the principal is an operator.
func (p *Principal) requireOperator(subject string) error {
	if p.Operator {
		return nil
	}
	return classifier.New(classifier.CodeTokenScope, subject, "only an operator may do this")
}

// sharesAccount reports whether an actor of the audit trail belongs to the account of the principal.
func (p *Principal) sharesAccount(actor string) bool {
	return strings.HasPrefix(actor, p.ownSource()+":")
}
