package loader

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// rules states what each validator tag asks for, as the end of the sentence "the value must ...".
var rules = map[string]string{
	"required":   "be set",
	"name":       "have lower-case letters, digits and hyphens only, at most 63",
	"endpoint":   "be an IP address and a port, such as 10.0.0.1:8000",
	"digest":     "be a SHA-256 digest of 64 hexadecimal digits in lower case",
	"http_url":   "be an http or https URL",
	"startswith": "start with %s",
	"printascii": "have printable ASCII characters only",
	"oneof":      "be one of %s",
	"unique":     "have no repeated entry",
	"min":        "be at least %s",
	"max":        "be at most %s",
	"gt":         "be greater than %s",
}

var checker = newChecker()

func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("yaml") })
	custom := map[string]func(text string) bool{
		"name":     namePattern.MatchString,
		"endpoint": isEndpoint,
		"digest":   isDigest,
	}
	for tag, valid := range custom {
		// Registration fails only for an empty tag or a nil function, which this table rules out.
		_ = v.RegisterValidation(tag, func(level validator.FieldLevel) bool { return valid(level.Field().String()) })
	}
	return v
}

// isEndpoint refuses the unspecified address, because the node announces its addresses to other nodes.
func isEndpoint(text string) bool {
	endpoint, err := netip.ParseAddrPort(text)
	return err == nil && endpoint.Port() > 0 && !endpoint.Addr().IsUnspecified()
}

func isDigest(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) == 32 && text == strings.ToLower(text)
}

// check validates merged settings. Each problem names the source that set the field.
func check(settings *Settings, file *document, origin map[string]string) FieldErrors {
	var faults validator.ValidationErrors
	err := checker.Struct(settings)
	if err != nil && !errors.As(err, &faults) {
		return FieldErrors{problem(file.place(""), "", err.Error())}
	}
	var problems FieldErrors
	for _, fault := range faults {
		_, path, _ := strings.Cut(fault.Namespace(), ".")
		base, _, _ := strings.Cut(path, "[")
		place, ok := origin[base]
		if !ok {
			place = file.place(path)
		}
		problems = append(problems, problem(place, path, reason(fault)))
	}
	return append(problems, checkAddresses(settings, file, origin)...)
}

// checkAddresses refuses one address in two roles; the node would fail to listen or would call itself.
func checkAddresses(settings *Settings, file *document, origin map[string]string) FieldErrors {
	var problems FieldErrors
	owner := make(map[string]string)
	for _, role := range []struct{ path, address string }{
		{"caller", settings.Caller},
		{"peer", settings.Peer},
		{"admin", settings.Admin},
		{"upstream.address", settings.Upstream.Address},
	} {
		if role.address == "" {
			continue
		}
		first, taken := owner[role.address]
		if !taken {
			owner[role.address] = role.path
			continue
		}
		place, ok := origin[role.path]
		if !ok {
			place = file.place(role.path)
		}
		problems = append(problems, problem(place, role.path, "the address is the same as that of "+first))
	}
	return problems
}

func reason(fault validator.FieldError) string {
	rule, ok := rules[fault.Tag()]
	if !ok {
		rule = "pass the check " + fault.Tag()
	}
	if strings.Contains(rule, "%s") {
		rule = fmt.Sprintf(rule, fault.Param())
	}
	unit := ""
	if fault.Tag() == "min" || fault.Tag() == "max" {
		unit = map[reflect.Kind]string{reflect.String: " characters long", reflect.Slice: " entries long"}[fault.Kind()]
	}
	return "the value must " + rule + unit
}
