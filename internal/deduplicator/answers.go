package deduplicator

import "github.com/vmihailenco/msgpack/v5"

// kept is an encoded answer in the order in which answers were stored. Its entry number is 0 once the record expired.
type kept struct {
	data  []byte
	entry uint32
	next  *kept
}

// keptCost is the memory of an answer besides its encoded form, in bytes.
const keptCost = 64

// answers is the queue of kept answers, oldest first.
type answers struct {
	head, tail *kept
	bytes      int
}

// push adds an answer to the queue.
func (a *answers) push(k *kept) {
	if a.tail == nil {
		a.head = k
	} else {
		a.tail.next = k
	}
	a.tail = k
	a.bytes += keptCost + len(k.data)
}

// pop removes the oldest answer, or returns nil.
func (a *answers) pop() *kept {
	k := a.head
	if k == nil {
		return nil
	}
	a.head = k.next
	if a.head == nil {
		a.tail = nil
	}
	a.bytes -= keptCost + len(k.data)
	return k
}

// drop frees the data of an answer in the queue whose record is gone.
func (a *answers) drop(k *kept) {
	a.bytes -= len(k.data)
	k.data, k.entry = nil, 0
	for a.head != nil && a.head.entry == 0 {
		a.pop()
	}
}

// encodeAnswer returns the stored form of an answer, or nil if it is over limit bytes.
func encodeAnswer(a *Answer, limit int) []byte {
	if a == nil || len(a.Body) > limit {
		return nil
	}
	data, err := msgpack.Marshal(a)
	if err != nil || len(data) > limit {
		return nil
	}
	return data
}

// decodeAnswer returns the answer of its stored form, or nil.
func decodeAnswer(data []byte) *Answer {
	var a Answer
	if len(data) == 0 || msgpack.Unmarshal(data, &a) != nil {
		return nil
	}
	return &a
}
