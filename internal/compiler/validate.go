package compiler

import (
	"errors"
	"fmt"
	"path"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

var (
	namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	hostPattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?(\.[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?)*$`)
	checker     = newChecker()
)

// newChecker returns a validator with the project's own validation tags: name for a DNS label, host for a DNS name of
// at most 253 bytes, and path for a clean absolute URL path. Errors name fields by their JSON names.
func newChecker() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	register(validate, "name", func(text string) bool { return namePattern.MatchString(text) })
	register(validate, "host", func(text string) bool { return len(text) <= 253 && hostPattern.MatchString(text) })
	register(validate, "path", func(text string) bool {
		return strings.HasPrefix(text, "/") && path.Clean(text) == text && !strings.ContainsAny(text, "?#%\\ \t\r\n")
	})
	return validate
}

// register adds a validation tag for string fields.
func register(validate *validator.Validate, tag string, accept func(string) bool) {
	// Registration fails only for an empty tag or function.
	_ = validate.RegisterValidation(tag, func(level validator.FieldLevel) bool { return accept(level.Field().String()) })
}

// checkFields returns the problems of one decoded struct. The path of each field starts with prefix.
func checkFields(object, prefix string, value any) []Problem {
	var failures validator.ValidationErrors
	if !errors.As(checker.Struct(value), &failures) {
		return nil
	}
	problems := make([]Problem, 0, len(failures))
	for _, failure := range failures {
		_, field, _ := strings.Cut(failure.Namespace(), ".")
		problems = append(problems, Problem{
			Object: object, Field: join(prefix, field), Code: classifier.CodeSourceInvalid,
			Reason: describe(failure),
		})
	}
	return problems
}

// describe returns the reason for a failed validation.
func describe(failure validator.FieldError) string {
	rule := failure.Tag()
	if failure.Param() != "" {
		rule += "=" + failure.Param()
	}
	return fmt.Sprintf("value %v does not satisfy %q", failure.Value(), rule)
}

// join joins two field paths with a dot, unless one of them is empty.
func join(prefix, path string) string {
	if prefix == "" || path == "" {
		return prefix + path
	}
	return prefix + "." + path
}
