package deduplicator

import "github.com/vmihailenco/msgpack/v5"

// storedAnswer is an encoded answer and its link in the answer queue. Its entry number is 0 once its record is removed.
type storedAnswer struct {
	data  []byte
	entry uint32
	next  *storedAnswer
}

// answerOverhead is the memory of a stored answer besides its encoded form, in bytes.
const answerOverhead = 64

// answerQueue is the queue of stored answers, oldest first.
type answerQueue struct {
	head, tail *storedAnswer
	bytes      int
}

// push adds an answer to the queue.
func (a *answerQueue) push(answer *storedAnswer) {
	if a.tail == nil {
		a.head = answer
	} else {
		a.tail.next = answer
	}
	a.tail = answer
	a.bytes += answerOverhead + len(answer.data)
}

// pop removes and returns the oldest answer, or returns nil if the queue is empty.
func (a *answerQueue) pop() *storedAnswer {
	oldest := a.head
	if oldest == nil {
		return nil
	}
	a.head = oldest.next
	if a.head == nil {
		a.tail = nil
	}
	a.bytes -= answerOverhead + len(oldest.data)
	return oldest
}

// drop frees the data of a queued answer whose record is removed, and pops such answers from the head of the queue.
func (a *answerQueue) drop(answer *storedAnswer) {
	a.bytes -= len(answer.data)
	answer.data, answer.entry = nil, 0
	for a.head != nil && a.head.entry == 0 {
		a.pop()
	}
}

// encodeAnswer encodes an answer for storage. It returns nil if there is no answer or its encoded form exceeds limit
// bytes.
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

// decodeAnswer decodes a stored answer. It returns nil if the data is empty or invalid.
func decodeAnswer(data []byte) *Answer {
	var a Answer
	if len(data) == 0 || msgpack.Unmarshal(data, &a) != nil {
		return nil
	}
	return &a
}
