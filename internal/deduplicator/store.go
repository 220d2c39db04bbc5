package deduplicator

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// Skew bounds the difference between the clocks of any two machines, callers included, in ms.
const Skew = 2 * timekeeper.Second

// Store is the memory of an owner. Its methods are state machines without I/O; the caller passes the time.
type Store struct {
	table *table
	rules rules
}

// rules are the parts of the protocol that tests turn off to show that they are needed.
type rules struct {
	anyone   bool // owners grant ids from before their start
	anySet   bool // owners do not compare owner sets
	forget   bool // a full memory drops claims
	zombies  bool // a claim message is granted after its release
	unbound  bool // owners accept ids from the future
	unmarked bool // minted ids may be claimed again
	narrow   bool // owners allow for the skew of callers only
	anyName  bool // owners grant claims that were meant for another node
	anyLife  bool // hosts run attempts that were sent to their predecessor
	one      bool // one grant is enough
}

// NewStore returns an empty store bounded by limit bytes.
func NewStore(limit int, window timekeeper.Millis) *Store {
	return &Store{table: newTable(limit, MaxCopyBytes, window)}
}

// MaxCopyBytes is the largest encoded answer that an owner keeps, in bytes.
const MaxCopyBytes = 16 << 10

// Claim answers a claimant. Since is the time from which this process counts as an owner; 0 means not yet. Agreed
// says that the claim is for this node and that the claimant and this owner name the same owners for the id.
func (o *Store) Claim(now, since timekeeper.Millis, agreed bool, r *Record) ClaimReply {
	birth := r.ID.Birth()
	if birth > now+Skew && !o.rules.unbound {
		return ClaimReply{Verdict: VerdictFuture}
	}
	s := o.table.lock(now, r.ID)
	defer s.mutex.Unlock()
	if s.expired(r.ID) {
		return ClaimReply{Verdict: VerdictExpired}
	}
	e := s.find(r.ID)
	agreed = agreed || o.rules.anySet
	repeated := e != nil && e.state == StateClaimed && s.same(e, r) && e.sequence == r.Sequence
	switch {
	case repeated && agreed:
		return ClaimReply{Verdict: VerdictGranted}
	case e != nil && e.state != StateReleased && !repeated:
		return ClaimReply{Verdict: VerdictConflict, Record: s.record(e)}
	case !agreed, !o.certain(birth, since), o.late(s, e, r):
		return ClaimReply{Verdict: VerdictUncertain}
	}
	return ClaimReply{Verdict: o.grant(s, e, r)}
}

// late reports whether the claim was released before its message arrived.
func (o *Store) late(s *shard, e *entry, r *Record) bool {
	return e != nil && s.same(e, r) && r.Sequence <= e.sequence && !o.rules.zombies
}

// grant records a claim, if there is room for an id without an entry.
func (o *Store) grant(s *shard, e *entry, r *Record) Verdict {
	if e == nil && o.rules.forget && !s.fit(entryCost) {
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
	s.hold(e, &claim)
	return VerdictGranted
}

// certain reports whether this process can tell that nobody claimed an id before. An owner's predecessor granted no
// id born more than Skew ahead of its clock, and the clock of the machine that it ran on may be Skew ahead of this
// one. So an id born more than twice Skew after the start was never granted by a predecessor.
func (o *Store) certain(birth, since timekeeper.Millis) bool {
	margin := 2 * Skew
	if o.rules.narrow {
		margin = Skew
	}
	return o.rules.anyone || since > 0 && since+margin < birth
}

// Release frees a claim of the same host process with the same or a lower sequence. If there is no claim, the
// release is remembered, so that the claim message has no effect when it arrives later.
func (o *Store) Release(now timekeeper.Millis, r *Record) {
	if r.ID.Birth() > now+Skew {
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
	case e.state == StateDone, e.state == StateClaimed && (!s.same(e, r) || e.sequence > r.Sequence):
		return
	case e.state == StateReleased && s.same(e, r) && e.sequence >= r.Sequence:
		return
	}
	released := *r
	released.State = StateReleased
	s.hold(e, &released)
}

// Complete merges records: the answer of a finished run, or the records that another owner hands over.
func (o *Store) Complete(now timekeeper.Millis, records []Record) {
	for i := range records {
		if r := &records[i]; r.ID.Birth() <= now+Skew {
			o.merge(now, r)
		}
	}
}

// merge takes over one record.
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
		s.finish(e, r)
	case r.State <= e.state:
	case e.state == StateReleased && s.same(e, r) && r.Sequence <= e.sequence:
	default:
		s.hold(e, r)
	}
}

// Lookup returns the record of an id; its state is StateNone if there is none.
func (o *Store) Lookup(now timekeeper.Millis, d ID) Record {
	s := o.table.lock(now, d)
	defer s.mutex.Unlock()
	if e := s.find(d); e != nil {
		return s.record(e)
	}
	return Record{ID: d}
}

// Bytes is the memory in use by records and answers.
func (o *Store) Bytes() int {
	return o.table.bytes()
}

// Count is the number of ids remembered.
func (o *Store) Count() int {
	return o.table.count()
}
