package forwarder

import (
	"io"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/budgeter"
)

// pieceBytes is the size of the pieces of a long body: one slice would leave as much garbage as it held.
const pieceBytes = 32 << 10

// maxPooledBytes keeps rare large buffers out of the pool.
const maxPooledBytes = 128 << 10

// buffer is a reusable, reference-counted byte slice, which pieces continue. It returns to the pool with its last
// reference: net/http may read a request body after RoundTrip has returned.
type buffer struct {
	bytes           []byte
	pieces          []*[pieceBytes]byte // what follows after bytes
	pieceLength     int64               // of the content of all pieces
	reserved        *budgeter.Reservation
	extraReferences atomic.Int32 // references in addition to the first one
	unpooled        bool         // the bytes belong to a record and must not enter the pool
}

// unpooledBuffer returns a buffer around bytes that belong to a record.
func unpooledBuffer(content []byte) *buffer {
	return &buffer{bytes: content, unpooled: true}
}

// releaseBuffer releases one reference.
func releaseBuffer(b *buffer) {
	if b == nil || b.extraReferences.Add(-1) >= 0 {
		return
	}
	for _, piece := range b.pieces {
		chunks.put(piece)
	}
	b.reserved.Release()
	b.pieces, b.pieceLength, b.reserved = nil, 0, nil
	if b.unpooled || cap(b.bytes) > maxPooledBytes {
		return
	}
	b.extraReferences.Store(0)
	b.bytes = b.bytes[:0]
	buffers.put(b)
}

// size returns the length of the content in bytes; 0 for no buffer.
func (b *buffer) size() int64 {
	if b == nil {
		return 0
	}
	return int64(len(b.bytes)) + b.pieceLength
}

// readAt copies the content from an offset on, and returns the number of bytes: 0 at its end only.
func (b *buffer) readAt(target []byte, offset int64) int {
	if offset < int64(len(b.bytes)) {
		return copy(target, b.bytes[offset:])
	}
	offset -= int64(len(b.bytes))
	if offset >= b.pieceLength {
		return 0
	}
	piece := b.pieces[offset/pieceBytes]
	return copy(target, piece[offset%pieceBytes:min(pieceBytes, b.pieceLength-offset+offset%pieceBytes)])
}

// parts returns the content in its parts.
func (b *buffer) parts() [][]byte {
	if b == nil {
		return nil
	}
	parts := append(make([][]byte, 0, 1+len(b.pieces)), b.bytes)
	for i, piece := range b.pieces {
		parts = append(parts, piece[:min(pieceBytes, b.pieceLength-int64(i)*pieceBytes)])
	}
	return parts
}

// extend reads up to n bytes from source into further pieces. It returns io.EOF if source ends before.
func (b *buffer) extend(source io.Reader, n int64) error {
	for end := b.pieceLength + n; b.pieceLength < end; {
		used := b.pieceLength % pieceBytes
		if used == 0 {
			b.pieces = append(b.pieces, chunks.get())
		}
		piece := b.pieces[len(b.pieces)-1]
		read, err := source.Read(piece[used:min(pieceBytes, used+end-b.pieceLength)])
		b.pieceLength += int64(read)
		if b.pieceLength%pieceBytes == 0 && read == 0 {
			chunks.put(piece)
			b.pieces = b.pieces[:len(b.pieces)-1]
		}
		if err == io.EOF && b.pieceLength == end {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// grow makes room for n bytes after the current content.
func (b *buffer) grow(n int) {
	if cap(b.bytes)-len(b.bytes) < n {
		larger := make([]byte, len(b.bytes), max(len(b.bytes)+n, 2*cap(b.bytes)))
		copy(larger, b.bytes)
		b.bytes = larger
	}
}
