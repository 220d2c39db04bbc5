package administrator

import (
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
)

// Principal is who sent a request: an operator, or somebody of one client account.
type Principal struct {
	Name     string
	Account  string // empty for an operator
	Operator bool
}

// actor is the principal's name in the audit trail.
func (p *Principal) actor() string {
	switch {
	case p.Operator:
		return "operator:" + p.Name
	case p.Account != "":
		return compiler.AccountPrefix + p.Account + ":" + p.Name
	}
	return "unknown"
}

// source is the only source that the principal of a client account may change.
func (p *Principal) source() string {
	return compiler.AccountPrefix + p.Account
}

// covers returns an error unless the principal may change or see a source.
func (p *Principal) covers(source string) error {
	if p.Operator || source == p.source() {
		return nil
	}
	return classifier.New(classifier.CodeTokenScope, source, "the token covers %s only", p.source())
}

// requireOperator returns an error unless the principal is an operator.
func (p *Principal) requireOperator(subject string) error {
	if p.Operator {
		return nil
	}
	return classifier.New(classifier.CodeTokenScope, subject, "only an operator may do this")
}

// wrote reports whether an audit entry was caused by somebody of the principal's account.
func (p *Principal) wrote(actor string) bool {
	return strings.HasPrefix(actor, p.source()+":")
}
