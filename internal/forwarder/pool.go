package forwarder

import (
	"sync"
	"sync/atomic"
)

// maxPooledBytes keeps rare large buffers out of the pool.
const maxPooledBytes = 128 << 10

// pool reuses values of one type.
type pool[T any] struct {
	values sync.Pool
}

func newPool[T any](make func() *T) *pool[T] {
	return &pool[T]{values: sync.Pool{New: func() any { return make() }}}
}

func (p *pool[T]) get() *T {
	value, _ := p.values.Get().(*T)
	return value
}

func (p *pool[T]) put(value *T) {
	p.values.Put(value)
}

// buffer is a reusable run of bytes. It goes back to the pool with its last holder: net/http may read a request body
// after RoundTrip has returned.
type buffer struct {
	bytes   []byte
	holders atomic.Int32 // besides the first one
	foreign bool         // the bytes belong to a record and are not for the pool
}

var (
	buffers = newPool(func() *buffer { return &buffer{bytes: make([]byte, 0, 4<<10)} })
	chunks  = newPool(func() *[32 << 10]byte { return new([32 << 10]byte) }) // for streaming copies
)

// foreignBuffer returns a buffer around bytes that are kept elsewhere.
func foreignBuffer(content []byte) *buffer {
	return &buffer{bytes: content, foreign: true}
}

// releaseBuffer ends the hold of one holder.
func releaseBuffer(b *buffer) {
	if b == nil || b.holders.Add(-1) >= 0 || b.foreign || cap(b.bytes) > maxPooledBytes {
		return
	}
	b.holders.Store(0)
	b.bytes = b.bytes[:0]
	buffers.put(b)
}

// grow makes room for n bytes behind the current content.
func (b *buffer) grow(n int) {
	if cap(b.bytes)-len(b.bytes) < n {
		larger := make([]byte, len(b.bytes), max(len(b.bytes)+n, 2*cap(b.bytes)))
		copy(larger, b.bytes)
		b.bytes = larger
	}
}
