package messenger

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/decoder"
)

func encode(value any) ([]byte, error) {
	content, err := msgpack.Marshal(value)
	if err != nil {
		return nil, classifier.Wrap(classifier.CodePeerInvalid, "message", err)
	}
	return content, nil
}

// decode fills target from content, which must hold exactly one value within the limits on size and nesting.
func decode(content []byte, target any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = classifier.New(classifier.CodePeerInvalid, "message", "decoder failed: %v", cause)
		}
	}()
	if err := decoder.Unmarshal(content, target); err != nil {
		return classifier.Wrap(classifier.CodePeerInvalid, "message", err)
	}
	return nil
}
