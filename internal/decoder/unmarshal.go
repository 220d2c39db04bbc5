// Package decoder decodes msgpack from other processes and limits its memory use and nesting.
package decoder

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Limits of one message. The msgpack library (v5.4.1) allocates a list of structs at its declared length before it
// reads any item, so a message of a few bytes could make it allocate many gigabytes.
const (
	maxItems = 200_000
	maxDepth = 32
)

var (
	errTruncated = errors.New("message ends early")
	errTrailing  = errors.New("message has bytes after its end")
	errDepth     = fmt.Errorf("message is nested deeper than %d levels", maxDepth)
	errItems     = fmt.Errorf("message has more than %d items, or fewer than declared", maxItems)
	errTypeByte  = errors.New("message has an invalid type byte")
)

// Unmarshal decodes body, which must be exactly one value, into target. It returns an error without decoding if body is
// malformed or over the limits.
func Unmarshal(body []byte, target any) error {
	if err := check(body); err != nil {
		return err
	}
	return msgpack.Unmarshal(body, target)
}

// check verifies the structure and the limits of one value without allocating memory for its declared lengths.
func check(body []byte) error {
	remaining := make([]int, 1, maxDepth) // items that remain in each open collection
	remaining[0] = 1
	total := 0
	for len(remaining) > 0 {
		innermost := len(remaining) - 1
		if remaining[innermost] == 0 {
			remaining = remaining[:innermost]
			continue
		}
		remaining[innermost]--
		if len(body) == 0 {
			return errTruncated
		}
		head, err := parseHead(body)
		if err != nil {
			return err
		}
		if head.bytes > len(body) {
			return errTruncated
		}
		body = body[head.bytes:]
		total += head.items
		if head.items > len(body) || total > maxItems {
			return errItems
		}
		if head.items > 0 {
			remaining = append(remaining, head.items)
		}
		if len(remaining) > maxDepth {
			return errDepth
		}
	}
	if len(body) > 0 {
		return errTrailing
	}
	return nil
}

// head is the size of a value: the bytes of its type, length and content, and the number of items that follow.
type head struct {
	bytes int
	items int
}

// parseHead reads the head of the first value of body, which is not empty.
func parseHead(body []byte) (head, error) {
	code := body[0]
	switch {
	case code <= 0x7f || code >= 0xe0 || code == 0xc0 || code == 0xc2 || code == 0xc3: // small int, nil, bool
		return head{bytes: 1}, nil
	case code <= 0x8f:
		return head{bytes: 1, items: 2 * int(code&0x0f)}, nil
	case code <= 0x9f:
		return head{bytes: 1, items: int(code & 0x0f)}, nil
	case code <= 0xbf:
		return head{bytes: 1 + int(code&0x1f)}, nil
	case code >= 0xca && code <= 0xd3: // float and int
		return head{bytes: 1 + [...]int{4, 8, 1, 2, 4, 8, 1, 2, 4, 8}[code-0xca]}, nil
	case code >= 0xd4 && code <= 0xd8: // extension of fixed size
		return head{bytes: 2 + 1<<(code-0xd4)}, nil
	}
	return parseLong(code, body[1:])
}

// parseLong reads the head of a value whose length is encoded after the type byte. rest starts after that byte.
func parseLong(code byte, rest []byte) (head, error) {
	width := 0
	switch code {
	case 0xc4, 0xc7, 0xd9:
		width = 1
	case 0xc5, 0xc8, 0xda, 0xdc, 0xde:
		width = 2
	case 0xc6, 0xc9, 0xdb, 0xdd, 0xdf:
		width = 4
	default:
		return head{}, errTypeByte
	}
	if len(rest) < width {
		return head{}, errTruncated
	}
	var padded [4]byte
	copy(padded[4-width:], rest[:width])
	length := int(binary.BigEndian.Uint32(padded[:]))
	switch code {
	case 0xdc, 0xdd:
		return head{bytes: 1 + width, items: length}, nil
	case 0xde, 0xdf:
		return head{bytes: 1 + width, items: 2 * length}, nil
	case 0xc7, 0xc8, 0xc9:
		return head{bytes: 2 + width + length}, nil
	}
	return head{bytes: 1 + width + length}, nil
}
