package messenger

import "github.com/jasmineproxy/jasmineproxy/internal/classifier"

// CheckFormat returns an error with CodePeerFormat if a message has another format number than the known one.
func CheckFormat(message string, format, known int) error {
	if format != known {
		return classifier.New(classifier.CodePeerFormat, message, "format %d is not known", format)
	}
	return nil
}

// Invalid returns an error with CodePeerInvalid about a field of a message.
func Invalid(message, field string, value any) error {
	failure := classifier.New(classifier.CodePeerInvalid, message, "value %v is out of range", value)
	failure.Field = field
	return failure
}
