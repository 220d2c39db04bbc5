package forwarder

import (
	"context"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/deduplicator"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Format is the number of the message format of Forwarder.Outcome.
const Format = 1

const (
	// maxQueries bounds the attempts in one message.
	maxQueries = 64
	// lookupTimeout bounds the search for a kept answer.
	lookupTimeout timekeeper.Millis = 100
)

// Query names an attempt. Incarnation is that of the host node's process when the attempt was made, as the entry node
// knew it. Deadline is in ms since the Unix epoch by the clock of the entry node.
type Query struct {
	ID          string            `msgpack:"i"`
	Token       uint64            `msgpack:"t"`
	Attempt     int               `msgpack:"a"`
	Incarnation uint64            `msgpack:"n"`
	Deadline    timekeeper.Millis `msgpack:"d"`
}

// OutcomeArguments asks a host node what became of attempts. Fence refuses those that did not start from now on.
// Answer asks for the kept answer of the first one.
type OutcomeArguments struct {
	Format  int     `msgpack:"f"`
	Queries []Query `msgpack:"q"`
	Fence   bool    `msgpack:"n"`
	Answer  bool    `msgpack:"w"`
}

// Finding is the state of one attempt, and its code when it ended.
type Finding struct {
	State State           `msgpack:"s"`
	Code  classifier.Code `msgpack:"c"`
}

// OutcomeReply has a finding for each query, and the answer if it was asked for and is kept.
type OutcomeReply struct {
	Format   int                  `msgpack:"f"`
	Findings []Finding            `msgpack:"s"`
	Answer   *deduplicator.Answer `msgpack:"w"`
}

// Receiver serves the messages of entry nodes. Register it with the messenger as "Forwarder".
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
	reply.Findings = make([]Finding, 0, len(arguments.Queries))
	now := c.host.Clock.Now()
	for _, q := range arguments.Queries {
		if !validToken(q.ID) || q.Deadline > now+24*60*timekeeper.Minute {
			return classifier.New(classifier.CodePeerInvalid, "forwarder", "a query is out of range")
		}
		reply.Findings = append(reply.Findings, c.host.find(now, &q, arguments.Fence))
	}
	if arguments.Answer && len(reply.Findings) == 1 && reply.Findings[0].State == StateDone {
		reply.Answer = c.host.kept(arguments.Queries[0].ID)
	}
	return nil
}

// find returns the state of one attempt. A process cannot tell whether one before it ran an attempt that was made for
// that one.
func (h *Host) find(now timekeeper.Millis, q *Query, fence bool) Finding {
	state, code := h.attempts.look(now, attemptKey{q.ID, q.Token, q.Attempt}, q.Deadline, fence)
	absent := state == StateAbsent || state == StateNotRun && code == classifier.CodeUpstreamUnreached
	if absent && !h.isProcess(q.Incarnation) && !h.trustRestart {
		return Finding{State: StateLost, Code: classifier.CodeOutcomeUnknown}
	}
	return Finding{State: state, Code: code}
}

// isProcess reports whether an incarnation is one that this process has or had.
func (h *Host) isProcess(incarnation uint64) bool {
	return incarnation == h.Incarnation || h.CurrentIncarnation != nil && incarnation == h.CurrentIncarnation()
}

// kept returns the answer that this node kept for an id, or nil.
func (h *Host) kept(id string) *deduplicator.Answer {
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
