package deduplicator

import (
	"sync"
	"unsafe"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Limits of a table. A record is kept until its id is older than the window, at most slotSpan longer.
const (
	slotSpan  = 10 * timekeeper.Second
	slotCount = 256
	// entryCost is the memory of a record without its answer: the entry and its share of an index that is at least
	// three eighths full, with a margin for partly used chunks, in bytes.
	entryCost = int(unsafe.Sizeof(entry{})) + 20
)

// shard is one part of a table under its own lock. Its methods are a state machine without I/O; the caller holds the
// lock and passes the time.
type shard struct {
	mutex   sync.Mutex
	slab    slab
	index   index
	answers answers
	holders pool[holder]
	kinds   pool[kind]
	slots   [slotCount]uint32 // lists of entries by birth
	oldest  int64             // number of the oldest birth slot in use
	latest  timekeeper.Millis // latest time seen; it never goes back, whatever the order in which callers get the lock
	window  timekeeper.Millis
	limit   int // bytes of records and answers
	largest int // bytes of the largest answer that is kept
}

// bytes is the memory in use.
func (s *shard) bytes() int {
	return int(s.slab.used)*entryCost + s.answers.bytes
}

// expired reports whether an id is older than the window.
func (s *shard) expired(d ID) bool {
	return s.latest-d.Birth() > s.window
}

// expire moves the shard's time to now and removes records of ids older than the window.
func (s *shard) expire(now timekeeper.Millis) {
	s.latest = max(s.latest, now)
	now = s.latest
	end := int64((now - s.window) / slotSpan) // ids in slots before this one are all older than the window
	if s.slab.used == 0 || end-s.oldest > slotCount {
		s.oldest = max(s.oldest, end-slotCount)
	}
	for ; s.oldest < end; s.oldest++ {
		s.empty(&s.slots[s.oldest&(slotCount-1)])
	}
}

// empty removes all records of a birth slot.
func (s *shard) empty(slot *uint32) {
	for *slot != 0 {
		number := *slot
		e := s.slab.at(number)
		*slot = e.next
		if e.kept != nil {
			s.answers.drop(e.kept)
		}
		s.index.remove(&s.slab, e.id)
		s.holders.give(e.holder)
		s.kinds.give(e.kind)
		s.slab.give(number)
	}
}

// clear removes all records. Only the rule that forgets claims uses it.
func (s *shard) clear() {
	for i := range s.slots {
		s.empty(&s.slots[i])
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

// add creates the entry of an id that has none, or returns nil if there is no room after all answers were evicted.
func (s *shard) add(d ID) *entry {
	if !s.fit(entryCost) {
		return nil
	}
	number := s.slab.take()
	e := s.slab.at(number)
	e.id = d
	e.holder, e.kind = s.holders.take(holder{}), s.kinds.take(kind{})
	s.index.insert(&s.slab, number)
	slot := &s.slots[int64(d.Birth()/slotSpan)&(slotCount-1)]
	e.next, *slot = *slot, number
	return e
}

// fit evicts the oldest answers until size more bytes fit, and reports whether they do.
func (s *shard) fit(size int) bool {
	for s.bytes()+size > s.limit {
		k := s.answers.pop()
		if k == nil {
			return false
		}
		if k.entry != 0 {
			s.slab.at(k.entry).kept = nil
		}
	}
	return true
}

// hold makes the entry a claim of the record's attempt.
func (s *shard) hold(e *entry, r *Record) {
	oldHolder, oldKind := e.holder, e.kind
	e.holder = s.holders.take(holder{r.Host, r.Incarnation})
	e.kind = s.kinds.take(kind{r.Account, r.Call})
	s.holders.give(oldHolder)
	s.kinds.give(oldKind)
	e.sequence, e.attempt, e.state = r.Sequence, clampAttempt(r.Attempt), r.State
}

// finish stores the first answer of an id that ran. Later answers are ignored.
func (s *shard) finish(e *entry, r *Record) {
	first := e.state != StateDone
	if first {
		s.hold(e, r)
		e.state, e.status, e.digest = StateDone, uint16(r.Status), r.Digest
	}
	if e.kept != nil || !first && (e.digest != r.Digest || e.status != uint16(r.Status)) {
		return
	}
	data := encodeAnswer(r.Answer, s.largest)
	if data == nil || !s.fit(keptCost+len(data)) {
		return
	}
	e.kept = &kept{data: data, entry: s.index.find(&s.slab, e.id)}
	s.answers.push(e.kept)
}

// record returns the sent form of an entry, with its answer if it is kept.
func (s *shard) record(e *entry) Record {
	h, k := s.holders.values[e.holder], s.kinds.values[e.kind]
	r := Record{
		ID: e.id, State: e.state, Host: h.host, Incarnation: h.incarnation, Sequence: e.sequence,
		Attempt: int(e.attempt), Account: k.account, Call: k.call, Status: int(e.status), Digest: e.digest,
	}
	if e.kept != nil {
		r.Answer = decodeAnswer(e.kept.data)
	}
	return r
}

// same reports whether the entry belongs to the host process of the record.
func (s *shard) same(e *entry, r *Record) bool {
	return s.holders.values[e.holder] == holder{r.Host, r.Incarnation}
}

// clampAttempt bounds an attempt number to the width of its field.
func clampAttempt(attempt int) uint16 {
	return uint16(min(max(attempt, 0), 1<<16-1))
}
