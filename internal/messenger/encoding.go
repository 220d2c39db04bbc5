package messenger

import (
	"encoding/binary"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

const (
	// maxElements bounds one list or map. The decoder reserves memory for the stated number of elements, so a short
	// message could otherwise reserve gigabytes.
	maxElements = 1 << 16
	// maxDepth bounds nesting, so that a message cannot exhaust the stack.
	maxDepth = 32
)

func encode(value any) ([]byte, error) {
	content, err := msgpack.Marshal(value)
	if err != nil {
		return nil, classifier.Wrap(classifier.CodePeerInvalid, "message", err)
	}
	return content, nil
}

// validate reports whether content holds exactly one msgpack value within the limits on size and nesting. Content
// from another node must pass it before the decoder sees it. It fails with CodePeerInvalid.
func validate(content []byte) error {
	rest, ok := skip(content, maxDepth)
	if !ok || len(rest) > 0 {
		return classifier.New(classifier.CodePeerInvalid, "message", "not one msgpack value of %d bytes", len(content))
	}
	return nil
}

// decode fills target from content, which must hold exactly one value within the limits on size and nesting.
func decode(content []byte, target any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = classifier.New(classifier.CodePeerInvalid, "message", "decoder failed: %v", cause)
		}
	}()
	if err := validate(content); err != nil {
		return err
	}
	if err := msgpack.Unmarshal(content, target); err != nil {
		return classifier.Wrap(classifier.CodePeerInvalid, "message", err)
	}
	return nil
}

// skip returns what follows the first value of p, or false if p is truncated, too deep or has too many elements.
func skip(p []byte, depth int) ([]byte, bool) {
	if len(p) == 0 || depth == 0 {
		return nil, false
	}
	head, rest := p[0], p[1:]
	switch {
	case head <= 0x7f || head >= 0xe0: // fixed integers
		return rest, true
	case head <= 0x8f:
		return skipElements(rest, uint64(head&0x0f)*2, depth)
	case head <= 0x9f:
		return skipElements(rest, uint64(head&0x0f), depth)
	case head <= 0xbf:
		return skipBytes(rest, uint64(head&0x1f))
	}
	return skipTyped(head, rest, depth)
}

// widths holds, for the type bytes 0xc0 to 0xdf, the size of the value or of its length prefix.
var widths = [32]uint8{
	0, 0, 0, 0, 1, 2, 4, 1, 2, 4, 4, 8, 1, 2, 4, 8, // nil, unused, false, true, bin, ext, float, uint
	1, 2, 4, 8, 1, 2, 4, 8, 16, 1, 2, 4, 2, 4, 2, 4, // int, fixext, str, array, map
}

func skipTyped(head byte, rest []byte, depth int) ([]byte, bool) {
	width := uint64(widths[head-0xc0])
	if head == 0xc1 || uint64(len(rest)) < width {
		return nil, false
	}
	switch {
	case head >= 0xd4 && head <= 0xd8: // fixed extension: a type byte and the value
		return skipBytes(rest, width+1)
	case head >= 0xc7 && head <= 0xc9: // extension: length, a type byte and the value
		return skipBytes(rest[width:], bigEndian(rest[:width])+1)
	case head >= 0xc4 && head <= 0xc6, head >= 0xd9 && head <= 0xdb: // bytes and text
		return skipBytes(rest[width:], bigEndian(rest[:width]))
	case head == 0xdc || head == 0xdd:
		return skipElements(rest[width:], bigEndian(rest[:width]), depth)
	case head >= 0xde:
		return skipElements(rest[width:], bigEndian(rest[:width])*2, depth)
	}
	return rest[width:], true
}

func skipBytes(p []byte, count uint64) ([]byte, bool) {
	if uint64(len(p)) < count {
		return nil, false
	}
	return p[count:], true
}

func skipElements(p []byte, count uint64, depth int) ([]byte, bool) {
	if count > maxElements || count > uint64(len(p)) {
		return nil, false
	}
	ok := true
	for ; ok && count > 0; count-- {
		p, ok = skip(p, depth-1)
	}
	return p, ok
}

func bigEndian(p []byte) uint64 {
	var whole [8]byte
	copy(whole[8-len(p):], p)
	return binary.BigEndian.Uint64(whole[:])
}
