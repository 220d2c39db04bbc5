package classifier

import (
	"errors"
	"fmt"
	"strings"
)

// Error is a failure with a numbered result code. Subject names the object, request or node that the error
// concerns, and Field the part of it. Outcome is set for requests only.
type Error struct {
	Code    Code    `json:"code"              msgpack:"code"`
	Outcome Outcome `json:"outcome,omitempty" msgpack:"outcome"`
	Subject string  `json:"subject,omitempty" msgpack:"subject"`
	Field   string  `json:"field,omitempty"   msgpack:"field"`
	Reason  string  `json:"reason"            msgpack:"reason"`
	Cause   error   `json:"-"                 msgpack:"-"`
}

// New returns an error with a code, a subject and a formatted reason.
func New(code Code, subject, format string, arguments ...any) *Error {
	return &Error{Code: code, Subject: subject, Reason: fmt.Sprintf(format, arguments...)}
}

// Wrap returns an error that wraps cause and has its text as the reason.
func Wrap(code Code, subject string, cause error) *Error {
	return &Error{Code: code, Subject: subject, Reason: cause.Error(), Cause: cause}
}

// Refuse returns an error like New with OutcomeNotRun: the request did not run.
func Refuse(code Code, subject, format string, arguments ...any) *Error {
	failure := New(code, subject, format, arguments...)
	failure.Outcome = OutcomeNotRun
	return failure
}

// Unknown returns an error like New with OutcomeUnknown: the request may have run.
func Unknown(code Code, subject, format string, arguments ...any) *Error {
	failure := New(code, subject, format, arguments...)
	failure.Outcome = OutcomeUnknown
	return failure
}

// Error formats the code, subject, field and reason on one line.
func (e *Error) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "code %d", e.Code)
	if e.Subject != "" {
		fmt.Fprintf(&text, ": %s", e.Subject)
	}
	if e.Field != "" {
		fmt.Fprintf(&text, ": %s", e.Field)
	}
	fmt.Fprintf(&text, ": %s", e.Reason)
	return text.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Cause
}

// CodeOf returns the code of the first Error in the chain of err, or CodeOK if there is none.
func CodeOf(err error) Code {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Code
	}
	return CodeOK
}
