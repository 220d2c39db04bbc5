package deduplicator

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// Records is a list of records in a message.
type Records []Record

// DecodeMsgpack decodes at most 1,024 records. Without it, the msgpack library allocates the stated length of a list of
// structs before it reads the first struct, so that a message of a few bytes could exhaust the memory.
func (r *Records) DecodeMsgpack(decoder *msgpack.Decoder) error {
	count, err := decoder.DecodeArrayLen()
	if err != nil {
		return err
	}
	if count > maxBatchRecords {
		return classifier.New(classifier.CodePeerInvalid, "deduplicator", "%d records", count)
	}
	*r = nil
	for range max(count, 0) {
		var record Record
		if err := decoder.Decode(&record); err != nil {
			return err
		}
		*r = append(*r, record)
	}
	return nil
}
