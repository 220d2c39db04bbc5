package pipeliner

// queue holds bytes that were read and not used yet. It reuses its memory.
type queue struct {
	buffer []byte
	from   int // index of the first byte
}

func (q *queue) bytes() []byte {
	return q.buffer[q.from:]
}

func (q *queue) size() int {
	return len(q.buffer) - q.from
}

// add appends bytes, after it has moved the others to the beginning if there is no room at the end.
func (q *queue) add(content []byte) {
	if len(q.buffer)+len(content) > cap(q.buffer) && q.from > 0 {
		q.buffer = q.buffer[:copy(q.buffer, q.buffer[q.from:])]
		q.from = 0
	}
	q.buffer = append(q.buffer, content...)
}

// drop removes bytes from the beginning.
func (q *queue) drop(n int) {
	if q.from += n; q.from >= len(q.buffer) {
		q.buffer, q.from = q.buffer[:0], 0
	}
}
