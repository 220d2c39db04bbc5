package forwarder

import "sync"

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

var (
	buffers = newPool(func() *buffer { return &buffer{bytes: make([]byte, 0, 4<<10)} })
	chunks  = newPool(func() *[pieceBytes]byte { return new([pieceBytes]byte) }) // for streaming copies and long bodies
)
