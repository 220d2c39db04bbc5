package messenger

import (
	"encoding/json"
	"errors"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// packError turns an error into the text that net/rpc carries. An error without a code becomes CodePeerInvalid.
func packError(err error) string {
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

// unpackError turns the text of a response back into an error.
func unpackError(text string) error {
	var failure classifier.Error
	if err := json.Unmarshal([]byte(text), &failure); err != nil || failure.Code == classifier.CodeOK {
		return classifier.New(classifier.CodePeerInvalid, "", "%s", text[:min(len(text), 200)])
	}
	return &failure
}
