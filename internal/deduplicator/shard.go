package deduplicator

import (
	"sync"
	"unsafe"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Limits of a table. A record is removed within slotDuration after its id becomes older than the window.
const (
	slotDuration = 10 * timekeeper.Second
	slotCount    = 256
	// entryBytes is the memory of a record without its answer: the entry and its share of an index that is at least
	// three eighths full, with a margin for partly used chunks, in bytes.
	entryBytes = int(unsafe.Sizeof(entry{})) + 20
)

// shard is a part of a table with its own lock. Its methods do no I/O; the caller holds the lock and passes the time.
type shard struct {
	mutex          sync.Mutex
	slab           slab
	index          index
	answerQueue    answerQueue
	holders        interner[holder]
	callKeys       interner[callKey]
	timeSlots      [slotCount]uint32 // lists of entries by the creation time of their ids
	oldestSlot     int64             // number of the oldest time slot in use
	latestTime     timekeeper.Millis // latest time of a caller; never decreases, even if callers get the lock out of order
	window         timekeeper.Millis
	limit          int // largest memory of records and answers, in bytes
	maxAnswerBytes int // largest encoded answer that is stored
}

// bytes returns the memory in use.
func (s *shard) bytes() int {
	return int(s.slab.used)*entryBytes + s.answerQueue.bytes
}

// expired reports whether an id is older than the window.
func (s *shard) expired(d ID) bool {
	return s.latestTime-d.Birth() > s.window
}

// expire advances the shard's time to now and removes records of ids older than the window.
func (s *shard) expire(now timekeeper.Millis) {
	s.latestTime = max(s.latestTime, now)
	now = s.latestTime
	end := int64((now - s.window) / slotDuration) // ids in slots before this one are all older than the window
	if s.slab.used == 0 || end-s.oldestSlot > slotCount {
		s.oldestSlot = max(s.oldestSlot, end-slotCount)
	}
	for ; s.oldestSlot < end; s.oldestSlot++ {
		s.removeSlot(&s.timeSlots[s.oldestSlot&(slotCount-1)])
	}
}

// removeSlot removes all records of a time slot.
func (s *shard) removeSlot(slot *uint32) {
	for *slot != 0 {
		number := *slot
		e := s.slab.at(number)
		*slot = e.next
		if e.storedAnswer != nil {
			s.answerQueue.drop(e.storedAnswer)
		}
		s.index.remove(&s.slab, e.id)
		s.holders.release(e.holder)
		s.callKeys.release(e.callKey)
		s.slab.release(number)
	}
}

// clear removes all records. It is used only when a test sets dropClaims.
func (s *shard) clear() {
	for i := range s.timeSlots {
		s.removeSlot(&s.timeSlots[i])
	}
}

// find returns the entry of an id, or nil.
func (s *shard) find(d ID) *entry {
	number := s.index.find(&s.slab, d)
	if number == 0 {
		return nil
	}
	return s.slab.at(number)
}

// add creates the entry of an id that has none. It returns nil if there is no room after the eviction of all answers.
func (s *shard) add(d ID) *entry {
	if !s.makeRoom(entryBytes) {
		return nil
	}
	number := s.slab.acquire()
	e := s.slab.at(number)
	e.id = d
	e.holder, e.callKey = s.holders.acquire(holder{}), s.callKeys.acquire(callKey{})
	s.index.insert(&s.slab, number)
	slot := &s.timeSlots[int64(d.Birth()/slotDuration)&(slotCount-1)]
	e.next, *slot = *slot, number
	return e
}

// makeRoom evicts the oldest answers until there is room for size more bytes, and reports whether there is.
func (s *shard) makeRoom(size int) bool {
	for s.bytes()+size > s.limit {
		k := s.answerQueue.pop()
		if k == nil {
			return false
		}
		if k.entry != 0 {
			s.slab.at(k.entry).storedAnswer = nil
		}
	}
	return true
}

// update copies the host process, call and state of a record to the entry.
func (s *shard) update(e *entry, r *Record) {
	oldHolder, oldCallKey := e.holder, e.callKey
	e.holder = s.holders.acquire(holder{r.Host, r.Incarnation})
	e.callKey = s.callKeys.acquire(callKey{r.Account, r.Call})
	s.holders.release(oldHolder)
	s.callKeys.release(oldCallKey)
	e.sequence, e.attempt, e.state = r.Sequence, clampAttempt(r.Attempt), r.State
}

// setAnswer marks an id as done and stores its first answer. Later answers are ignored.
func (s *shard) setAnswer(e *entry, r *Record) {
	first := e.state != StateDone
	if first {
		s.update(e, r)
		e.state, e.status, e.digest = StateDone, uint16(r.Status), r.Digest
	}
	if e.storedAnswer != nil || !first && (e.digest != r.Digest || e.status != uint16(r.Status)) {
		return
	}
	data := encodeAnswer(r.Answer, s.maxAnswerBytes)
	if data == nil || !s.makeRoom(answerOverhead+len(data)) {
		return
	}
	e.storedAnswer = &storedAnswer{data: data, entry: s.index.find(&s.slab, e.id)}
	s.answerQueue.push(e.storedAnswer)
}

// record returns the record of an entry for a message, with its answer if it is stored.
func (s *shard) record(e *entry) Record {
	h, k := s.holders.values[e.holder], s.callKeys.values[e.callKey]
	r := Record{
		ID: e.id, State: e.state, Host: h.host, Incarnation: h.incarnation, Sequence: e.sequence,
		Attempt: int(e.attempt), Account: k.account, Call: k.call, Status: int(e.status), Digest: e.digest,
	}
	if e.storedAnswer != nil {
		r.Answer = decodeAnswer(e.storedAnswer.data)
	}
	return r
}

// sameProcess reports whether the entry belongs to the host process of the record.
func (s *shard) sameProcess(e *entry, r *Record) bool {
	return s.holders.values[e.holder] == holder{r.Host, r.Incarnation}
}

// clampAttempt limits an attempt number to the range of its field.
func clampAttempt(attempt int) uint16 {
	return uint16(min(max(attempt, 0), 1<<16-1))
}
