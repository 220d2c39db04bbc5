package commander

import (
	"errors"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
	// exitClassBase is added to the hundreds digit of a result code: code 105 exits with 11, code 505 with 15.
	exitClassBase = 10
)

// usageError reports wrong arguments or flags. The process exits with exitUsage.
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

// exitCode returns the exit code for the error of a command.
func exitCode(err error) int {
	var usage *usageError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	}
	if code := classifier.CodeOf(err); code != classifier.CodeOK {
		return resultExitCode(code)
	}
	return exitFailure
}

// resultExitCode derives the exit code from the class of a result code, its hundreds digit.
func resultExitCode(code classifier.Code) int {
	if code == classifier.CodeOK {
		return exitOK
	}
	return exitClassBase + int(code)/100
}
