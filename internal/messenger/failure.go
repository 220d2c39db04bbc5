package messenger

import (
	"encoding/json"
	"errors"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// encodeError returns the error text of a response: the error in JSON, so that the caller gets its code and outcome.
// An error without a code is sent with CodePeerInvalid.
func encodeError(err error) string {
	var failure *classifier.Error
	if !errors.As(err, &failure) {
		failure = classifier.Wrap(classifier.CodePeerInvalid, "", err)
	}
	content, err := json.Marshal(failure)
	if err != nil {
		return err.Error()
	}
	return string(content)
}

// decodeError converts the error text of a response back to an error.
func decodeError(text string) error {
	var failure classifier.Error
	if err := json.Unmarshal([]byte(text), &failure); err != nil || failure.Code == classifier.CodeOK {
		return classifier.New(classifier.CodePeerInvalid, "", "%s", text[:min(len(text), 200)])
	}
	return &failure
}
