package loader

import (
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// FieldErrors lists all errors found in the settings. Each error has code 110. Its subject is the source of the value:
// file and line, environment variable or flag.
type FieldErrors []*classifier.Error

// Error formats each error on its own line.
func (p FieldErrors) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors, so that classifier.CodeOf finds their code.
func (p FieldErrors) Unwrap() []error {
	list := make([]error, len(p))
	for i, problem := range p {
		list[i] = problem
	}
	return list
}

func newFieldError(subject, field, reason string) *classifier.Error {
	return &classifier.Error{Code: classifier.CodeSettingsInvalid, Subject: subject, Field: field, Reason: reason}
}
