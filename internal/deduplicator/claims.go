package deduplicator

import "github.com/jasmineproxy/jasmineproxy/internal/classifier"

// claimTally counts the replies of the owners to a claim.
type claimTally struct {
	owners      int
	replies     int
	granted     int
	full        int
	expired     int
	future      int
	conflict    Record
	singleGrant bool // a single grant is enough instead of a quorum; only tests set it
}

// result is the state of a claim as far as the counted replies decide it.
type result uint8

const (
	resultPending result = iota
	resultGranted
	resultDenied
)

// add counts the reply of an owner. An owner that did not reply counts as uncertain.
func (c *claimTally) add(reply *ClaimReply) {
	c.replies++
	switch reply.Verdict {
	case VerdictGranted:
		c.granted++
	case VerdictFull:
		c.full++
	case VerdictExpired:
		c.expired++
	case VerdictFuture:
		c.future++
	case VerdictConflict:
		if reply.Record.State > c.conflict.State || reply.Record.Answer != nil {
			c.conflict = reply.Record
		}
	case VerdictUncertain:
	}
}

// result returns resultGranted after a quorum of grants, and resultDenied as soon as a quorum is no longer possible. A
// claim is denied at once if the id has no known owner or an owner reports a finished run.
func (c *claimTally) result() result {
	quorum := Quorum(c.owners)
	if c.singleGrant {
		quorum = 1
	}
	switch {
	case c.owners == 0:
		return resultDenied
	case c.granted >= quorum:
		return resultGranted
	case c.granted+c.owners-c.replies < quorum, c.conflict.State == StateDone:
		return resultDenied
	}
	return resultPending
}

// refusal returns the error for a claim that was denied without a conflict. Its outcome is "notrun" only if a quorum of
// owners knows that the id has no other claim.
func (c *claimTally) refusal(id string) *classifier.Error {
	switch {
	case c.expired > 0:
		return classifier.Unknown(classifier.CodeIDExpired, id, "the id is older than the memory window")
	case c.future > 0:
		return classifier.Unknown(classifier.CodeIDFuture, id, "the id's timestamp is ahead of an owner's clock")
	case c.full > 0 && c.owners > 0 && c.granted+c.full >= Quorum(c.owners):
		return classifier.Refuse(classifier.CodeMemoryFull, id, "the owners have no room for another id")
	}
	return classifier.Unknown(classifier.CodeIDUncertain, id, "%d of %d owners granted the claim", c.granted, c.owners)
}
