package pipeliner

import "sync"

// pool keeps buffers of one type for reuse.
type pool[T any] struct {
	free sync.Pool
}

func (p *pool[T]) get() *T {
	if found, ok := p.free.Get().(*T); ok {
		return found
	}
	return new(T)
}

// put returns a buffer to the pool; nil is ignored.
func (p *pool[T]) put(buffer *T) {
	if buffer != nil {
		p.free.Put(buffer)
	}
}

var chunks pool[[readSize]byte]
