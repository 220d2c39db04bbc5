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

// requirements completes the error message "the value must ..." for each validator tag.
var requirements = map[string]string{
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

var settingsValidator = newSettingsValidator()

func newSettingsValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("yaml") })
	customTags := map[string]func(text string) bool{
		"name":     namePattern.MatchString,
		"endpoint": IsEndpoint,
		"digest":   isDigest,
	}
	for tag, valid := range customTags {
		// Registration fails only for an empty tag or a nil function, and the table above has neither.
		_ = v.RegisterValidation(tag, func(input validator.FieldLevel) bool { return valid(input.Field().String()) })
	}
	return v
}

// IsEndpoint reports whether text is an IP address and a port. It refuses the unspecified address, because the node
// announces its addresses to other nodes.
func IsEndpoint(text string) bool {
	endpoint, err := netip.ParseAddrPort(text)
	return err == nil && endpoint.Port() > 0 && !endpoint.Addr().IsUnspecified()
}

func isDigest(text string) bool {
	digest, err := hex.DecodeString(text)
	return err == nil && len(digest) == 32 && text == strings.ToLower(text)
}

// validate checks merged settings. Each error names the source that set the field.
func validate(settings *Settings, file *document, locations map[string]string) FieldErrors {
	var failures validator.ValidationErrors
	err := settingsValidator.Struct(settings)
	if err != nil && !errors.As(err, &failures) {
		return FieldErrors{newFieldError(file.location(""), "", err.Error())}
	}
	var problems FieldErrors
	for _, failure := range failures {
		_, path, _ := strings.Cut(failure.Namespace(), ".")
		field, _, _ := strings.Cut(path, "[")
		location, ok := locations[field]
		if !ok {
			location = file.location(path)
		}
		problems = append(problems, newFieldError(location, path, describe(failure)))
	}
	return append(problems, validateAddresses(settings, file, locations)...)
}

// validateAddresses refuses an address that is set in two fields, because the node would fail to listen or would call
// itself.
func validateAddresses(settings *Settings, file *document, locations map[string]string) FieldErrors {
	var problems FieldErrors
	roles := make(map[string]string)
	for _, role := range []struct{ path, address string }{
		{"caller", settings.Caller},
		{"peer", settings.Peer},
		{"admin", settings.Admin},
		{"upstream.address", settings.Upstream.Address},
	} {
		if role.address == "" {
			continue
		}
		other, taken := roles[role.address]
		if !taken {
			roles[role.address] = role.path
			continue
		}
		location, ok := locations[role.path]
		if !ok {
			location = file.location(role.path)
		}
		problems = append(problems, newFieldError(location, role.path, "the address is the same as that of "+other))
	}
	return problems
}

func describe(failure validator.FieldError) string {
	requirement, ok := requirements[failure.Tag()]
	if !ok {
		requirement = "pass the check " + failure.Tag()
	}
	if strings.Contains(requirement, "%s") {
		requirement = fmt.Sprintf(requirement, failure.Param())
	}
	unit := ""
	if failure.Tag() == "min" || failure.Tag() == "max" {
		unit = map[reflect.Kind]string{reflect.String: " characters long", reflect.Slice: " entries long"}[failure.Kind()]
	}
	return "the value must " + requirement + unit
}
