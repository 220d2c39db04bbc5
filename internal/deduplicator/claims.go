package deduplicator

import "github.com/jasmineproxy/jasmineproxy/internal/classifier"

// claims counts the replies of the owners to one claim.
type claims struct {
	owners   int
	replies  int
	granted  int
	full     int
	expired  int
	future   int
	conflict Record
	one      bool // a single grant is enough; only tests set it
}

// result is the state of a claim.
type result uint8

const (
	resultPending result = iota
	resultWon
	resultLost
)

// add counts the reply of one owner. An owner that did not reply counts as uncertain.
func (c *claims) add(reply *ClaimReply) {
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

// result is won with a quorum of grants, and lost as soon as no quorum is possible any more,
// which is at once if no owner is known. A conflict with a
// finished run is lost at once.
func (c *claims) result() result {
	need := Quorum(c.owners)
	if c.one {
		need = 1
	}
	switch {
	case c.owners == 0:
		return resultLost
	case c.granted >= need:
		return resultWon
	case c.granted+c.owners-c.replies < need, c.conflict.State == StateDone:
		return resultLost
	}
	return resultPending
}

// refusal explains a claim that was lost without a conflict. It is "not run" only if a quorum of owners knows that
// the id has no other claim.
func (c *claims) refusal(id string) *classifier.Error {
	switch {
	case c.expired > 0:
		return classifier.Unknown(classifier.CodeIDExpired, id, "the id is older than the memory window")
	case c.future > 0:
		return classifier.Unknown(classifier.CodeIDFuture, id, "the id is born ahead of an owner's clock")
	case c.full > 0 && c.owners > 0 && c.granted+c.full >= Quorum(c.owners):
		return classifier.Refuse(classifier.CodeMemoryFull, id, "the owners have no room for another id")
	}
	return classifier.Unknown(classifier.CodeIDUncertain, id, "%d of %d owners granted the claim", c.granted, c.owners)
}
