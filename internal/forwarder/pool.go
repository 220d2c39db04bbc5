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

// buffer is a reusable, reference-counted byte slice. It returns to the pool with its last reference: net/http may read
// a request body after RoundTrip has returned.
type buffer struct {
	bytes           []byte
	extraReferences atomic.Int32 // references in addition to the first one
	unpooled        bool         // the bytes belong to a record and must not enter the pool
}

var (
	buffers = newPool(func() *buffer { return &buffer{bytes: make([]byte, 0, 4<<10)} })
	chunks  = newPool(func() *[32 << 10]byte { return new([32 << 10]byte) }) // for streaming copies
)

// unpooledBuffer returns a buffer around bytes that belong to a record.
func unpooledBuffer(content []byte) *buffer {
	return &buffer{bytes: content, unpooled: true}
}

// releaseBuffer releases one reference.
func releaseBuffer(b *buffer) {
	if b == nil || b.extraReferences.Add(-1) >= 0 || b.unpooled || cap(b.bytes) > maxPooledBytes {
		return
	}
	b.extraReferences.Store(0)
	b.bytes = b.bytes[:0]
	buffers.put(b)
}

// grow makes room for n bytes after the current content.
func (b *buffer) grow(n int) {
	if cap(b.bytes)-len(b.bytes) < n {
		larger := make([]byte, len(b.bytes), max(len(b.bytes)+n, 2*cap(b.bytes)))
		copy(larger, b.bytes)
		b.bytes = larger
	}
}
