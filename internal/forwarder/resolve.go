package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/deduplicator"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

const (
	outcomeMethod = "Forwarder.Outcome"
	// resolveTimeout bounds one question about a broken exchange, and resolveTries the questions without an answer.
	resolveTimeout timekeeper.Millis = 250
	resolveTries   int               = 2
	// resolvePause lies between two questions about an attempt that still runs.
	resolvePause timekeeper.Millis = 20
)

// resolve finds out over a new connection what became of an attempt whose exchange broke. An attempt that did not start
// is refused by its host node from then on, so that it can be made again elsewhere.
func (e *Entry) resolve(ctx context.Context, c *call, member *tracker.Member, failure *classifier.Error) *ending {
	if e.Caller == nil || e.noResolve {
		return failed(failure)
	}
	arguments := OutcomeArguments{Format: Format, Queries: []Query{c.query()}, Fence: true, Answer: true}
	for tries := 0; tries < resolveTries; {
		remaining := c.deadline - e.Clock.Now()
		if remaining <= 0 || ctx.Err() != nil {
			return failed(failure)
		}
		var reply OutcomeReply
		err := e.Caller.Call(ctx, member.Peer, outcomeMethod, &arguments, &reply, min(remaining, resolveTimeout))
		if err != nil || len(reply.Findings) != 1 {
			tries++
			continue
		}
		switch finding := reply.Findings[0]; finding.State {
		case StateNotRun:
			end := failed(classifier.Refuse(finding.Code, c.job.Call, "the host node did not start the attempt"))
			end.unsent = true
			return end
		case StateDone:
			return finished(c, &reply, finding, failure)
		case StateLost:
			return e.lookup(ctx, c, member, failure)
		case StateAbsent, StateQueued, StateRunning:
			pause(ctx, resolvePause)
		}
	}
	return e.lookup(ctx, c, member, failure)
}

// finished is the end of an attempt that its host node reports as done.
func finished(c *call, reply *OutcomeReply, finding Finding, failure *classifier.Error) *ending {
	if reply.Answer != nil {
		return answered(reply.Answer)
	}
	if finding.Code != classifier.CodeOK {
		return failed(classifier.Unknown(finding.Code, c.job.Call, "the host node reports code %d", finding.Code))
	}
	if c.job.Idempotent {
		return failed(failure)
	}
	return failed(classifier.Unknown(classifier.CodeAnswerGone, c.job.Call, "the request ran and its answer is not kept"))
}

// lookup asks the owners of the id when the host node does not respond.
func (e *Entry) lookup(ctx context.Context, c *call, member *tracker.Member, failure *classifier.Error) *ending {
	remaining := c.deadline - e.Clock.Now()
	if e.Coordinator == nil || c.job.Idempotent || remaining <= 0 {
		return failed(failure)
	}
	bounded, cancel := context.WithTimeout(ctx, remaining.Duration())
	defer cancel()
	record, err := e.Coordinator.Lookup(bounded, c.job.ID)
	switch {
	case err != nil:
		return failed(failure)
	case record.State == deduplicator.StateDone && record.Status != 0 && record.Answer != nil:
		return answered(record.Answer)
	case record.State == deduplicator.StateReleased && record.Host == member.Name && record.Attempt >= c.job.Attempt:
		return failed(classifier.Refuse(classifier.CodeUpstreamUnreached, c.job.Call, "the host node gave the claim back"))
	}
	return failed(failure)
}

// answered is the end of an attempt with a kept answer.
func answered(a *deduplicator.Answer) *ending {
	return &ending{
		status: a.Status, header: http.Header(a.Header), body: foreignBuffer(a.Body), length: int64(len(a.Body)),
	}
}

func (c *call) query() Query {
	return Query{
		ID: c.job.ID, Token: c.job.Token, Attempt: c.job.Attempt, Incarnation: c.incarnation, Deadline: c.deadline,
	}
}

func pause(ctx context.Context, span timekeeper.Millis) {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
