package forwarder

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/google/uuid"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// maxSkew is how far ahead of this node's clock an id may be born.
const maxSkew = 2 * timekeeper.Second

// newID returns a UUIDv7 born now. The generator is the runtime's ChaCha8, which needs no system call per id.
func newID(now timekeeper.Millis) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(now)<<16|0x7000|rand.Uint64()&0x0fff)
	binary.BigEndian.PutUint64(id[8:], 1<<63|rand.Uint64()>>2)
	return id.String()
}

func validID(text string) bool {
	id, err := uuid.Parse(text)
	return err == nil && len(text) == 36 && id.Version() == 7 && id.Variant() == uuid.RFC4122
}

// maxToken bounds an opaque id, in bytes.
const maxToken = 128

// validToken reports whether text can be an id of any kind: printable ASCII without spaces.
func validToken(text string) bool {
	if text == "" || len(text) > maxToken {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// birth returns the time in a UUIDv7.
func birth(id uuid.UUID) timekeeper.Millis {
	return timekeeper.Millis(binary.BigEndian.Uint64(id[:8]) >> 16)
}

// checkID validates an id from a caller. It fails with code 205 or 208.
func checkID(text string, now timekeeper.Millis) error {
	if !validID(text) {
		return classifier.Refuse(classifier.CodeIDMalformed, headerID, "%.40q is not a UUIDv7", text)
	}
	if born := birth(uuid.MustParse(text)); born > now+maxSkew {
		return classifier.Refuse(classifier.CodeIDFuture, headerID, "id is born %d ms in the future", born-now)
	}
	return nil
}
