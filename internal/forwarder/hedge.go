package forwarder

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/retrier"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// attemptOutcome is the result of one of two attempts that run at the same time.
type attemptOutcome struct {
	call   *call
	member tracker.Member
	result *attemptResult
}

// sendHedged sends an attempt and, if its response is later than that of most requests of its call, a second one to
// another member. The first good response counts, and the other attempt is called off. It returns the attempt that
// counts.
func (e *Entry) sendHedged(ctx context.Context, c *call, member tracker.Member) attemptOutcome {
	delay, ok := e.hedgeDelay(c)
	if !ok {
		return attemptOutcome{c, member, e.sendAttempt(ctx, c, &member)}
	}
	firstContext, cancelFirst := context.WithCancel(ctx)
	outcomes := make(chan attemptOutcome, 2)
	first := *c
	first.calledOff = new(atomic.Bool)
	go func() { outcomes <- attemptOutcome{&first, member, e.sendAttempt(firstContext, &first, &member)} }()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case outcome := <-outcomes:
		outcome.result.addCancel(cancelFirst)
		return outcome
	case <-timer.C:
	}
	second, other, ok := e.prepareHedge(c, &member)
	if !ok {
		outcome := <-outcomes
		outcome.result.addCancel(cancelFirst)
		return outcome
	}
	secondContext, cancelSecond := context.WithCancel(ctx)
	go func() { outcomes <- attemptOutcome{second, other, e.sendAttempt(secondContext, second, &other)} }()
	e.Hedger.RecordSent()
	cancels := map[*call]context.CancelFunc{&first: cancelFirst, second: cancelSecond}
	winner := <-outcomes
	if !winner.good() {
		cancels[winner.call]()
		winner.result.close()
		loser := winner
		winner = <-outcomes
		winner.call.inherit(loser.call)
		winner.result.addCancel(cancels[winner.call])
		return winner
	}
	winner.result.addCancel(cancels[winner.call])
	for attempt, cancel := range cancels {
		if attempt != winner.call {
			attempt.calledOff.Store(true)
			cancel()
		}
	}
	go func() { (<-outcomes).result.close() }()
	if winner.call == second {
		e.Hedger.RecordWon()
	}
	winner.call.job.Attempt = second.job.Attempt
	return winner
}

// good reports whether an attempt got a response that goes to the caller.
func (o *attemptOutcome) good() bool {
	return o.result.failure == nil && !o.result.upstreamFailed()
}

// hedgeDelay returns the time after which a second attempt of a call may be sent; false if none may. Only requests
// without a body have one: they are cheap to send again.
func (e *Entry) hedgeDelay(c *call) (time.Duration, bool) {
	if e.Hedger == nil || !c.job.Idempotent || c.partOfRetry || c.job.Attempt > 1 || c.body.size() > 0 || !c.mayFollow() {
		return 0, false
	}
	if limit := c.route.Call.Attempts; limit > 0 && c.reached+2 > limit {
		return 0, false
	}
	delay, ok := e.Hedger.Delay(c.job.Call)
	return delay.Duration(), ok && delay < (c.deadline-e.Clock.Now())/2
}

// prepareHedge returns a second attempt and its member, if another member has room and the budgets allow it.
func (e *Entry) prepareHedge(c *call, member *tracker.Member) (*call, tracker.Member, bool) {
	second := *c
	second.calledOff = new(atomic.Bool)
	second.job.Attempt = c.job.Attempt + 1
	second.job.Retry = true
	second.pick.Tried = append(append([]string(nil), c.pick.Tried...), member.Name)
	other, err := e.Picker.Pick(second.pick)
	if err != nil || other.Name == member.Name || !e.Picker.HasRoom(other.Name, other.Slots) {
		return nil, tracker.Member{}, false
	}
	if !e.Hedger.Spend(c.job.Service) || e.Retrier == nil || !e.Retrier.Decide(retrier.Attempt{
		Service: c.job.Service, Number: c.job.Attempt, Outcome: classifier.OutcomeUnknown,
		Code: classifier.CodeOutcomeUnknown, Idempotent: true, Deadline: c.deadline,
	}).Retry {
		return nil, tracker.Member{}, false
	}
	return &second, other, true
}

// inherit takes over what another attempt of the same request that failed has shown.
func (c *call) inherit(other *call) {
	c.job.Attempt = max(c.job.Attempt, other.job.Attempt)
	c.neverRan = c.neverRan || other.neverRan
	c.mayHaveRun = true
	c.reached++
}
