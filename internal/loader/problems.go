package loader

import (
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// FieldErrors are all faults found in the settings. Each has code 110; its subject is the place (file and line,
// environment variable or flag).
type FieldErrors []*classifier.Error

// Error puts each problem on its own line.
func (p FieldErrors) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems, so that classifier.CodeOf finds their code.
func (p FieldErrors) Unwrap() []error {
	list := make([]error, len(p))
	for i, problem := range p {
		list[i] = problem
	}
	return list
}

func problem(subject, field, reason string) *classifier.Error {
	return &classifier.Error{Code: classifier.CodeSettingsInvalid, Subject: subject, Field: field, Reason: reason}
}
