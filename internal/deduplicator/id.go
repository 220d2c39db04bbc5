package deduplicator

import (
	"encoding/binary"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// ID is a request id, a UUIDv7. Its first 48 bits are its creation time.
type ID [16]byte

// ParseID decodes the canonical text form of a UUIDv7. Other text is refused with code 205.
func ParseID(text string) (ID, error) {
	if d, ok := parse(text); ok {
		return d, nil
	}
	return ID{}, classifier.Refuse(classifier.CodeIDMalformed, "id", "not a UUIDv7 of 36 characters")
}

// parse decodes an id, and reports whether the text is a UUIDv7.
func parse(text string) (ID, bool) {
	if len(text) != 36 {
		return ID{}, false
	}
	value, err := uuid.Parse(text)
	if err != nil || value.Version() != 7 || value.Variant() != uuid.RFC4122 {
		return ID{}, false
	}
	return ID(value), true
}

// String returns the canonical text form.
func (d ID) String() string {
	return uuid.UUID(d).String()
}

// Created returns the creation time in the id, in ms since the Unix epoch by the clock of its creator.
func (d ID) Created() timekeeper.Millis {
	return timekeeper.Millis(binary.BigEndian.Uint64(d[:8]) >> 16)
}

// GeneratedByNode reports whether a node created the id. One in 2^32 ids of callers has a matching check value by
// chance.
func (d ID) GeneratedByNode() bool {
	return binary.BigEndian.Uint32(d[12:]) == checkValue(d)
}

// checkValue returns the value of the last 32 bits of an id that a node creates: a hash of the bits before.
func checkValue(d ID) uint32 {
	return uint32(xxhash.Sum64(d[:12]))
}

// maxIDTries bounds the search for an id with a given home. With 64 data centres the search fails once in 10^14.
const maxIDTries = 2048

// NewID creates an id with the timestamp now whose home is zone. If zones is empty, the id has no home. If zone is not
// among zones, the id may have any home.
func NewID(now timekeeper.Millis, random *rand.Rand, zone string, zones []string) ID {
	var d ID
	for range maxIDTries {
		binary.BigEndian.PutUint64(d[:8], uint64(now)<<16|0x7000|random.Uint64()&0x0fff)
		binary.BigEndian.PutUint32(d[8:12], 1<<31|random.Uint32()>>2)
		binary.BigEndian.PutUint32(d[12:], checkValue(d))
		if home := HomeZone(d, zones); home == zone || home == "" {
			break
		}
	}
	return d
}
