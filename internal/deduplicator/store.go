package deduplicator

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// Skew bounds the difference between the clocks of any two machines, callers included, in ms.
const Skew = 2 * timekeeper.Second

// Store contains the records of an owner. Its methods do no I/O; the caller passes the time.
type Store struct {
	table *table
	flags flags
}

// flags disable rules of the protocol. Only tests set them, to show that each rule is needed.
type flags struct {
	ignoreStart       bool // owners grant ids that were created before their start
	ignoreOwnerSet    bool // owners do not compare owner sets
	dropClaims        bool // owners drop all claims when their memory is full
	ignoreReleases    bool // owners grant a claim whose release arrived first
	acceptFuture      bool // owners accept ids whose timestamp is in the future
	reclaimGenerated  bool // ids that a node created may be claimed again
	callerSkewOnly    bool // owners allow only for the clock skew of callers
	ignoreOwnerName   bool // owners grant claims that were sent to another node
	ignoreIncarnation bool // hosts run and settle attempts that were sent to another process
	singleGrant       bool // a single grant is enough instead of a quorum
}

// NewStore returns an empty store bounded by limit bytes.
func NewStore(limit int, window timekeeper.Millis) *Store {
	return &Store{table: newTable(limit, MaxCopyBytes, window)}
}

// MaxCopyBytes is the largest encoded answer that an owner keeps, in bytes.
const MaxCopyBytes = 16 << 10

// Claim returns the verdict on a claim. ownerSince is the time from which this process counts as an owner; 0 means not
// yet. sameOwners reports whether the claim was sent to this node and the claimant and this owner agree on the owners
// of the id.
func (o *Store) Claim(now, ownerSince timekeeper.Millis, sameOwners bool, r *Record) ClaimReply {
	created := r.ID.Created()
	if created > now+Skew && !o.flags.acceptFuture {
		return ClaimReply{Verdict: VerdictFuture}
	}
	s := o.table.lock(now, r.ID)
	defer s.mutex.Unlock()
	if s.expired(r.ID) {
		return ClaimReply{Verdict: VerdictExpired}
	}
	e := s.find(r.ID)
	sameOwners = sameOwners || o.flags.ignoreOwnerSet
	repeated := e != nil && e.state == StateClaimed && s.sameProcess(e, r) && e.sequence == r.Sequence
	switch {
	case repeated && sameOwners:
		return ClaimReply{Verdict: VerdictGranted}
	case e != nil && e.state != StateReleased && !repeated:
		return ClaimReply{Verdict: VerdictConflict, Record: s.record(e)}
	case !sameOwners, !o.certainlyUnclaimed(created, ownerSince), o.releasedBefore(s, e, r):
		return ClaimReply{Verdict: VerdictUncertain}
	}
	return ClaimReply{Verdict: o.grant(s, e, r)}
}

// releasedBefore reports whether the claim was released before its message arrived.
func (o *Store) releasedBefore(s *shard, e *entry, r *Record) bool {
	return e != nil && s.sameProcess(e, r) && r.Sequence <= e.sequence && !o.flags.ignoreReleases
}

// grant records a claim, or returns VerdictFull if the id has no entry and there is no room for one. With the test flag
// dropClaims it removes all records of the shard instead of returning VerdictFull.
func (o *Store) grant(s *shard, e *entry, r *Record) Verdict {
	if e == nil && o.flags.dropClaims && !s.makeRoom(entryBytes) {
		s.clear()
	}
	if e == nil {
		e = s.add(r.ID)
	}
	if e == nil {
		return VerdictFull
	}
	claim := *r
	claim.State = StateClaimed
	s.update(e, &claim)
	return VerdictGranted
}

// certainlyUnclaimed reports whether an id without a record has surely not been claimed before. A previous process of
// this owner granted no id created more than Skew ahead of its clock, and the clock of its machine may be Skew ahead of
// this one. An id created more than twice Skew after the start was therefore never granted by a previous process.
func (o *Store) certainlyUnclaimed(created, ownerSince timekeeper.Millis) bool {
	margin := 2 * Skew
	if o.flags.callerSkewOnly {
		margin = Skew
	}
	return o.flags.ignoreStart || ownerSince > 0 && ownerSince+margin < created
}

// Release releases a claim of the same host process with the same or a lower sequence. If there is no claim, the
// release is recorded, so that the claim message has no effect when it arrives later.
func (o *Store) Release(now timekeeper.Millis, r *Record) {
	if r.ID.Created() > now+Skew {
		return
	}
	s := o.table.lock(now, r.ID)
	defer s.mutex.Unlock()
	if s.expired(r.ID) {
		return
	}
	e := s.find(r.ID)
	switch {
	case e == nil:
		if e = s.add(r.ID); e == nil {
			return
		}
	case e.state == StateDone, e.state == StateClaimed && (!s.sameProcess(e, r) || e.sequence > r.Sequence):
		return
	case e.state == StateReleased && s.sameProcess(e, r) && e.sequence >= r.Sequence:
		return
	}
	released := *r
	released.State = StateReleased
	s.update(e, &released)
}

// Complete merges records into the store: the answer of a finished run, or the records that another owner hands over.
func (o *Store) Complete(now timekeeper.Millis, records []Record) {
	for i := range records {
		if r := &records[i]; r.ID.Created() <= now+Skew {
			o.merge(now, r)
		}
	}
}

// merge updates the entry of an id if the record is more advanced.
func (o *Store) merge(now timekeeper.Millis, r *Record) {
	s := o.table.lock(now, r.ID)
	defer s.mutex.Unlock()
	if r.State == StateNone || s.expired(r.ID) {
		return
	}
	e := s.find(r.ID)
	if e == nil {
		if e = s.add(r.ID); e == nil {
			return
		}
	}
	switch {
	case r.State == StateDone:
		s.setAnswer(e, r)
	case r.State <= e.state:
	case e.state == StateReleased && s.sameProcess(e, r) && r.Sequence <= e.sequence:
	default:
		s.update(e, r)
	}
}

// Lookup returns the record of an id, or a record in StateNone if the store has none.
func (o *Store) Lookup(now timekeeper.Millis, d ID) Record {
	s := o.table.lock(now, d)
	defer s.mutex.Unlock()
	if e := s.find(d); e != nil {
		return s.record(e)
	}
	return Record{ID: d}
}

// Bytes returns the memory in use by records and answers.
func (o *Store) Bytes() int {
	return o.table.bytes()
}

// Count returns the number of records.
func (o *Store) Count() int {
	return o.table.count()
}
