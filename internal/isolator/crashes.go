package isolator

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// Crashes is a list of deaths in a message.
type Crashes []Crash

// DecodeMsgpack reads at most one batch of deaths. The msgpack library allocates the stated length of a list of structs
// before it reads the first one, so that a message of a few bytes could take all memory.
func (d *Crashes) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count > batchLimit {
		return classifier.New(classifier.CodePeerInvalid, "isolator", "%d deaths", count)
	}
	*d = nil
	for range max(count, 0) {
		var death Crash
		if err := decoder.Decode(&death); err != nil {
			return err
		}
		*d = append(*d, death)
	}
	return nil
}
