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
	// resolveTimeout bounds one outcome query about a broken exchange, and maxResolveFailures bounds the queries that
	// fail.
	resolveTimeout     timekeeper.Millis = 250
	maxResolveFailures int               = 2
	// resolveInterval is the delay between two queries about an attempt that is still in flight.
	resolveInterval timekeeper.Millis = 20
)

// resolve queries the outcome of an attempt whose exchange broke, over a new connection. If the attempt has not
// started, its host node refuses it from then on, so that it can be retried elsewhere.
func (e *Entry) resolve(
	ctx context.Context, c *call, member *tracker.Member, failure *classifier.Error,
) *attemptResult {
	if e.Caller == nil || e.noResolve {
		return failedResult(failure)
	}
	arguments := OutcomeArguments{Format: Format, Queries: []Query{c.query()}, Fence: true, Answer: true}
	for failures := 0; failures < maxResolveFailures; {
		remaining := c.deadline - e.Clock.Now()
		if remaining <= 0 || ctx.Err() != nil {
			return failedResult(failure)
		}
		var reply OutcomeReply
		err := e.Caller.Call(ctx, member.Peer, outcomeMethod, &arguments, &reply, min(remaining, resolveTimeout))
		if err != nil || len(reply.Statuses) != 1 {
			failures++
			continue
		}
		switch status := reply.Statuses[0]; status.State {
		case StateNotRun:
			result := failedResult(classifier.Refuse(status.Code, c.job.Call, "the host node did not start the attempt"))
			result.unsent, result.hostResponds = true, true
			return result
		case StateDone:
			return doneResult(c, &reply, status, failure)
		case StateUnknown:
			return e.lookup(ctx, c, member, failure)
		case StateAbsent, StateQueued, StateRunning:
			pause(ctx, resolveInterval)
		}
	}
	return e.lookup(ctx, c, member, failure)
}

// doneResult returns the result of an attempt that its host node reports as done.
func doneResult(c *call, reply *OutcomeReply, status AttemptStatus, failure *classifier.Error) *attemptResult {
	if reply.Answer != nil {
		return storedResult(reply.Answer)
	}
	if status.Code != classifier.CodeOK {
		return failedResult(classifier.Unknown(status.Code, c.job.Call, "the host node reports code %d", status.Code))
	}
	if c.job.Idempotent {
		return failedResult(failure)
	}
	return failedResult(classifier.Unknown(
		classifier.CodeAnswerGone, c.job.Call, "the request ran and its answer is not kept",
	))
}

// lookup queries the owners of the id when the host node does not know the outcome.
func (e *Entry) lookup(ctx context.Context, c *call, member *tracker.Member, failure *classifier.Error) *attemptResult {
	remaining := c.deadline - e.Clock.Now()
	if e.Coordinator == nil || c.job.Idempotent || remaining <= 0 {
		return failedResult(failure)
	}
	bounded, cancel := context.WithTimeout(ctx, remaining.Duration())
	defer cancel()
	record, err := e.Coordinator.Lookup(bounded, c.job.ID)
	switch {
	case err != nil:
		return failedResult(failure)
	case record.State == deduplicator.StateDone && record.Status != 0 && record.Answer != nil:
		return storedResult(record.Answer)
	case record.State == deduplicator.StateReleased && record.Host == member.Name && record.Attempt >= c.job.Attempt:
		return failedResult(classifier.Refuse(
			classifier.CodeUpstreamUnreached, c.job.Call, "the host node released the claim",
		))
	}
	return failedResult(failure)
}

// storedResult returns the result of an attempt whose answer is stored.
func storedResult(a *deduplicator.Answer) *attemptResult {
	return &attemptResult{
		status: a.Status, header: http.Header(a.Header), body: unpooledBuffer(a.Body), length: int64(len(a.Body)),
	}
}

func (c *call) query() Query {
	return Query{
		ID: c.job.ID, Token: c.job.Token, Attempt: c.job.Attempt, Incarnation: c.incarnation, Deadline: c.deadline,
	}
}

func pause(ctx context.Context, duration timekeeper.Millis) {
	timer := time.NewTimer(duration.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
