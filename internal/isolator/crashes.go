package isolator

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// Crashes is the list of crashes in a message.
type Crashes []Crash

// DecodeMsgpack reads at most one batch of crashes. The msgpack library allocates the stated length of a list of
// structs before it reads the first one, so a message of a few bytes could exhaust the memory. It fails with
// CodePeerInvalid if the list is longer than a batch.
func (c *Crashes) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count > batchLimit {
		return classifier.New(classifier.CodePeerInvalid, "isolator", "message with %d crashes", count)
	}
	*c = nil
	for range max(count, 0) {
		var crash Crash
		if err := decoder.Decode(&crash); err != nil {
			return err
		}
		*c = append(*c, crash)
	}
	return nil
}
