package forwarder

import (
	"context"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/deduplicator"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Format is the version of the messages of Forwarder.Outcome.
const Format = 1

const (
	// maxQueries bounds the attempts in one message.
	maxQueries = 64
	// lookupTimeout bounds the lookup of a stored answer.
	lookupTimeout timekeeper.Millis = 100
)

// Query identifies an attempt. Incarnation is that of the host node's process when the attempt was made, as known to
// the entry node. Deadline is in ms since the Unix epoch by the clock of the entry node.
type Query struct {
	ID          string            `msgpack:"i"`
	Token       uint64            `msgpack:"t"`
	Attempt     int               `msgpack:"a"`
	Incarnation uint64            `msgpack:"n"`
	Deadline    timekeeper.Millis `msgpack:"d"`
}

// OutcomeArguments requests the states of attempts from a host node. With Fence, the node refuses those that have not
// started from now on. Answer requests the stored answer of the first one.
type OutcomeArguments struct {
	Format  int     `msgpack:"f"`
	Queries []Query `msgpack:"q"`
	Fence   bool    `msgpack:"n"`
	Answer  bool    `msgpack:"w"`
}

// AttemptStatus is the state of one attempt, and its code if it ended.
type AttemptStatus struct {
	State State           `msgpack:"s"`
	Code  classifier.Code `msgpack:"c"`
}

// OutcomeReply has a status for each query, and the stored answer if it was requested and exists.
type OutcomeReply struct {
	Format   int                  `msgpack:"f"`
	Statuses []AttemptStatus      `msgpack:"s"`
	Answer   *deduplicator.Answer `msgpack:"w"`
}

// Receiver serves the RPC requests of entry nodes. Register it with the messenger as "Forwarder".
type Receiver struct {
	host *Host
}

// Receiver returns the net/rpc receiver of the host node.
func (h *Host) Receiver() any {
	return &Receiver{host: h}
}

// Outcome reports the states of attempts.
func (c *Receiver) Outcome(arguments *OutcomeArguments, reply *OutcomeReply) error {
	if arguments.Format != Format {
		return classifier.New(classifier.CodePeerFormat, "forwarder", "format %d instead of %d", arguments.Format, Format)
	}
	if len(arguments.Queries) > maxQueries {
		return classifier.New(classifier.CodePeerInvalid, "forwarder", "%d queries", len(arguments.Queries))
	}
	reply.Format = Format
	reply.Statuses = make([]AttemptStatus, 0, len(arguments.Queries))
	now := c.host.Clock.Now()
	for _, q := range arguments.Queries {
		if !validToken(q.ID) || q.Deadline > now+24*60*timekeeper.Minute {
			return classifier.New(classifier.CodePeerInvalid, "forwarder", "a query is out of range")
		}
		reply.Statuses = append(reply.Statuses, c.host.attemptStatus(now, &q, arguments.Fence))
	}
	if arguments.Answer && len(reply.Statuses) == 1 && reply.Statuses[0].State == StateDone {
		reply.Answer = c.host.storedAnswer(arguments.Queries[0].ID)
	}
	return nil
}

// attemptStatus returns the status of one attempt. The state is unknown if the attempt was made for an earlier process,
// which may have run it.
func (h *Host) attemptStatus(now timekeeper.Millis, q *Query, fence bool) AttemptStatus {
	state, code := h.attempts.query(now, attemptKey{q.ID, q.Token, q.Attempt}, q.Deadline, fence)
	absent := state == StateAbsent || state == StateNotRun && code == classifier.CodeUpstreamUnreached
	if absent && !h.isOwnIncarnation(q.Incarnation) && !h.skipRestartCheck {
		return AttemptStatus{State: StateUnknown, Code: classifier.CodeOutcomeUnknown}
	}
	return AttemptStatus{State: state, Code: code}
}

// isOwnIncarnation reports whether this process has or had an incarnation.
func (h *Host) isOwnIncarnation(incarnation uint64) bool {
	return incarnation == h.Incarnation || h.CurrentIncarnation != nil && incarnation == h.CurrentIncarnation()
}

// storedAnswer returns the answer that is stored for an id, or nil.
func (h *Host) storedAnswer(id string) *deduplicator.Answer {
	if h.Coordinator == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout.Duration())
	defer cancel()
	record, err := h.Coordinator.Lookup(ctx, id)
	if err != nil || record.State != deduplicator.StateDone || record.Status == 0 {
		return nil
	}
	return record.Answer
}
