package commander

import (
	"errors"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	// exitClass is added to the class of a result code: 105 gives 11, 505 gives 15.
	exitClass = 10
)

// usageError is a command line that does not fit the commands and flags.
type usageError struct {
	cause error
}

// Error implements error.
func (u *usageError) Error() string {
	return u.cause.Error()
}

// Unwrap returns the cause.
func (u *usageError) Unwrap() error {
	return u.cause
}

func exitCode(err error) int {
	var usage *usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	}
	if code := classifier.CodeOf(err); code != classifier.CodeOK {
		return codeExit(code)
	}
	return exitFailure
}

// codeExit returns the exit code for the class of a result code.
func codeExit(code classifier.Code) int {
	if code == classifier.CodeOK {
		return exitOK
	}
	return exitClass + int(code)/100
}
