package deduplicator

import (
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// MaxAnswerBytes is the largest encoded answer that a host node keeps, in bytes.
const MaxAnswerBytes = 64 << 10

// Host stores the attempts that a host node received. Its methods do no I/O; the caller passes the time.
type Host struct {
	table       *table
	name        string
	incarnation uint64
	sequence    atomic.Uint64
}

// NewHost returns an empty table for a host process, bounded by limit bytes.
func NewHost(name string, incarnation uint64, limit int, window timekeeper.Millis) *Host {
	return &Host{table: newTable(limit, MaxAnswerBytes, window), name: name, incarnation: incarnation}
}

// Begin registers an attempt. It returns the attempt's claim and true, or the conflicting record and false. The state
// of a conflicting record is StateNone if the table is full, and StateReleased if the attempt was settled.
func (h *Host) Begin(now timekeeper.Millis, d ID, r *Request) (Record, bool) {
	s := h.table.lock(now, d)
	defer s.mutex.Unlock()
	e := s.find(d)
	switch {
	case e == nil:
		if e = s.add(d); e == nil {
			return Record{ID: d}, false
		}
	case e.state != StateReleased, clampAttempt(r.Attempt) <= e.settled:
		return s.record(e), false
	}
	claim := Record{
		ID: d, State: StateClaimed, Host: h.name, Incarnation: h.incarnation, Sequence: h.sequence.Add(1),
		Attempt: r.Attempt, Account: r.Account, Call: r.Call,
	}
	s.update(e, &claim)
	return claim, true
}

// Release releases the claim of an attempt that never started, and reports whether the claim was still active.
func (h *Host) Release(now timekeeper.Millis, d ID, sequence uint64) bool {
	s := h.table.lock(now, d)
	defer s.mutex.Unlock()
	e := s.find(d)
	if e == nil || e.state != StateClaimed || e.sequence != sequence {
		return false
	}
	e.state = StateReleased
	return true
}

// Complete stores the first answer of a claim, and returns its record without the answer. It reports false if the
// claim is not active.
func (h *Host) Complete(now timekeeper.Millis, d ID, sequence uint64, a *Answer) (Record, bool) {
	s := h.table.lock(now, d)
	defer s.mutex.Unlock()
	e := s.find(d)
	if e == nil || e.state != StateClaimed || e.sequence != sequence {
		return Record{}, false
	}
	r := s.record(e)
	r.State, r.Status, r.Digest, r.Answer = StateDone, a.Status, a.Digest, a
	s.setAnswer(e, &r)
	r.Answer = nil
	return r, true
}

// Lookup returns the record of an id, or a record in StateNone if the table has none.
func (h *Host) Lookup(now timekeeper.Millis, d ID) Record {
	s := h.table.lock(now, d)
	defer s.mutex.Unlock()
	if e := s.find(d); e != nil {
		return s.record(e)
	}
	return Record{ID: d}
}

// Settle returns the record of an id whose entry node lost contact with this process during an attempt. If the id has
// no record, or its last claim was released, Settle records that this process refuses all attempts up to the given
// number from now on, and the returned state is StateReleased: the attempt did not run and never will. StateNone means
// that the table has no room to record the refusal, or that the id is expired.
func (h *Host) Settle(now timekeeper.Millis, d ID, attempt int) Record {
	s := h.table.lock(now, d)
	defer s.mutex.Unlock()
	e := s.find(d)
	if e == nil {
		if s.expired(d) {
			return Record{ID: d}
		}
		if e = s.add(d); e == nil {
			return Record{ID: d}
		}
		e.state = StateReleased
	}
	if e.state == StateReleased {
		e.settled = max(e.settled, clampAttempt(attempt))
	}
	return s.record(e)
}

// Certify returns the state of a claim of this host to a node whose own claim conflicts with it. The record is in
// StateReleased if the attempt never started and never will, and in StateNone if the claim is of another incarnation.
func (h *Host) Certify(now timekeeper.Millis, d ID, incarnation, sequence uint64) Record {
	if incarnation != h.incarnation {
		return Record{ID: d}
	}
	r := h.Lookup(now, d)
	if r.State == StateClaimed && r.Sequence > sequence {
		return Record{
			ID: d, State: StateReleased, Host: h.name, Incarnation: incarnation, Sequence: sequence,
			Account: r.Account, Call: r.Call,
		}
	}
	return r
}
