package forwarder

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/google/uuid"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// maxSkew is how far the creation time of an id may be ahead of the clock of this node.
const maxSkew = 2 * timekeeper.Second

// newID returns a UUIDv7 created at now. The generator is the runtime's ChaCha8, which needs no system call per id.
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

// validToken reports whether text is a valid id of any form: printable ASCII without spaces.
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

// creationTime returns the time in a UUIDv7.
func creationTime(id uuid.UUID) timekeeper.Millis {
	return timekeeper.Millis(binary.BigEndian.Uint64(id[:8]) >> 16)
}

// checkID validates an id from a caller. It fails with code 205 or 208.
func checkID(text string, now timekeeper.Millis) error {
	if !validID(text) {
		return classifier.Refuse(classifier.CodeIDMalformed, headerID, "%.40q is not a UUIDv7", text)
	}
	if created := creationTime(uuid.MustParse(text)); created > now+maxSkew {
		return classifier.Refuse(classifier.CodeIDFuture, headerID, "the id was created %d ms in the future", created-now)
	}
	return nil
}
