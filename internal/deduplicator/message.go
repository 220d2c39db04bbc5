package deduplicator

import "github.com/jasmineproxy/jasmineproxy/internal/classifier"

// Format is the version number of the message format.
const Format = 1

// Verdict is an owner's reply to a claim.
type Verdict uint8

// Verdicts of an owner.
const (
	// VerdictGranted reserves the id for the claimant until the end of the memory window.
	VerdictGranted Verdict = iota + 1
	// VerdictConflict returns the record of another attempt.
	VerdictConflict
	// VerdictUncertain means that the owner cannot rule out an earlier claim of the id.
	VerdictUncertain
	// VerdictFull means that the id has no other claim but the owner's memory is full.
	VerdictFull
	// VerdictExpired means that the id is older than the memory window.
	VerdictExpired
	// VerdictFuture means that the id's timestamp is too far ahead of the owner's clock.
	VerdictFuture
)

// ClaimArguments claims an id at an owner. Owner is the name of that owner, because its address may now belong to
// another node. Owners is the fingerprint of the owner set that the claimant uses.
type ClaimArguments struct {
	Format int    `msgpack:"f"`
	Owner  string `msgpack:"n"`
	Owners uint64 `msgpack:"o"`
	Record Record `msgpack:"r"`
}

// ClaimReply carries an owner's verdict, and the record in case of a conflict.
type ClaimReply struct {
	Format  int     `msgpack:"f"`
	Verdict Verdict `msgpack:"v"`
	Record  Record  `msgpack:"r"`
}

// ReleaseArguments certifies that the attempt of the record never started and never will.
type ReleaseArguments struct {
	Format int    `msgpack:"f"`
	Record Record `msgpack:"r"`
}

// CompleteArguments carries records to owners: the answer of a finished run, or the records of a leaving owner.
type CompleteArguments struct {
	Format  int     `msgpack:"f"`
	Records Records `msgpack:"r"`
}

// LookupArguments requests the record of an id. With a Host, the record comes from that host node's own table instead
// of the owner's store. Incarnation and Sequence then identify a claim, which the host certifies as released if the
// attempt never started.
type LookupArguments struct {
	Format      int    `msgpack:"f"`
	ID          ID     `msgpack:"i"`
	Host        string `msgpack:"h"`
	Incarnation uint64 `msgpack:"n"`
	Sequence    uint64 `msgpack:"q"`
}

// LookupReply carries the record of an id, or a record in StateNone if there is none.
type LookupReply struct {
	Format int    `msgpack:"f"`
	Record Record `msgpack:"r"`
}

// Empty is a reply without content.
type Empty struct {
	Format int `msgpack:"f"`
}

// checkFormat refuses messages of another format with code 301.
func checkFormat(format int) error {
	if format == Format {
		return nil
	}
	return classifier.New(classifier.CodePeerFormat, "deduplicator", "format %d instead of %d", format, Format)
}

// checkRecord refuses records with fields out of range with code 305.
func checkRecord(r *Record) error {
	switch {
	case r.State > StateDone, len(r.Host) > maxNameBytes, len(r.Account) > maxNameBytes, len(r.Call) > maxNameBytes:
		return classifier.New(classifier.CodePeerInvalid, "deduplicator", "record field out of range")
	case r.ID[6]>>4 != 7 || r.ID[8]>>6 != 2:
		return classifier.New(classifier.CodePeerInvalid, "deduplicator", "id is not a UUIDv7")
	}
	return nil
}

// maxNameBytes is the longest host, account or call name in a message, in bytes.
const maxNameBytes = 256
