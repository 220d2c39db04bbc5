package forwarder

import "sync"

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

// buffer is a reusable run of bytes.
type buffer struct {
	bytes []byte
}

var (
	buffers = newPool(func() *buffer { return &buffer{bytes: make([]byte, 0, 4<<10)} })
	chunks  = newPool(func() *[32 << 10]byte { return new([32 << 10]byte) }) // for streaming copies
)

func releaseBuffer(b *buffer) {
	if b != nil && cap(b.bytes) <= maxPooledBytes {
		b.bytes = b.bytes[:0]
		buffers.put(b)
	}
}

// grow makes room for n bytes behind the current content.
func (b *buffer) grow(n int) {
	if cap(b.bytes)-len(b.bytes) < n {
		larger := make([]byte, len(b.bytes), max(len(b.bytes)+n, 2*cap(b.bytes)))
		copy(larger, b.bytes)
		b.bytes = larger
	}
}
