package deduplicator

import (
	"sync"
	"unsafe"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Limits of a table. A time slot lists the entries whose ids were created in the same interval of slotDuration. Its
// records are removed together, within slotDuration after their ids become older than the window. The slots form a ring
// of about 42 min, which must be longer than the window.
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
	hostProcesses  interner[hostProcess]
	callKeys       interner[callKey]
	timeSlots      [slotCount]uint32 // number of the first entry in each time slot's list; 0 for an empty slot
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
	return s.latestTime-d.Created() > s.window
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

// removeSlot removes all records of a time slot. The argument points to the slot's element of timeSlots, which
// becomes 0.
func (s *shard) removeSlot(first *uint32) {
	for *first != 0 {
		number := *first
		e := s.slab.at(number)
		*first = e.next
		if e.storedAnswer != nil {
			s.answerQueue.drop(e.storedAnswer)
		}
		s.index.remove(&s.slab, e.id)
		s.hostProcesses.release(e.hostProcess)
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
	e.hostProcess, e.callKey = s.hostProcesses.acquire(hostProcess{}), s.callKeys.acquire(callKey{})
	s.index.insert(&s.slab, number)
	slot := &s.timeSlots[int64(d.Created()/slotDuration)&(slotCount-1)]
	e.next, *slot = *slot, number
	return e
}

// makeRoom evicts the oldest answers until there is room for size more bytes, and reports whether there is.
func (s *shard) makeRoom(size int) bool {
	for s.bytes()+size > s.limit {
		oldest := s.answerQueue.pop()
		if oldest == nil {
			return false
		}
		if oldest.entry != 0 {
			s.slab.at(oldest.entry).storedAnswer = nil
		}
	}
	return true
}

// update copies the host process, call and state of a record to the entry.
func (s *shard) update(e *entry, r *Record) {
	oldProcess, oldCallKey := e.hostProcess, e.callKey
	e.hostProcess = s.hostProcesses.acquire(hostProcess{r.Host, r.Incarnation})
	e.callKey = s.callKeys.acquire(callKey{r.Account, r.Call})
	s.hostProcesses.release(oldProcess)
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
	h, k := s.hostProcesses.values[e.hostProcess], s.callKeys.values[e.callKey]
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
	return s.hostProcesses.values[e.hostProcess] == hostProcess{r.Host, r.Incarnation}
}

// clampAttempt limits an attempt number to the range of its field.
func clampAttempt(attempt int) uint16 {
	return uint16(min(max(attempt, 0), 1<<16-1))
}
