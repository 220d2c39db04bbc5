package messenger

import "github.com/jasmineproxy/jasmineproxy/internal/classifier"

// CheckFormat returns an error with CodePeerFormat if the format number of a message is not the supported one.
func CheckFormat(message string, format, supported int) error {
	if format != supported {
		return classifier.New(classifier.CodePeerFormat, message, "format %d is not known", format)
	}
	return nil
}

// InvalidField returns an error with CodePeerInvalid for a message field whose value is out of range.
func InvalidField(message, field string, value any) error {
	failure := classifier.New(classifier.CodePeerInvalid, message, "value %v is out of range", value)
	failure.Field = field
	return failure
}
