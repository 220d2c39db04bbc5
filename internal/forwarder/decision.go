package forwarder

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/retrier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// logAttempt tells how an attempt failed and what follows.
func (e *Entry) logAttempt(c *call, member *tracker.Member, end *ending, decision retrier.Decision) {
	if !e.Decisions.Allow() {
		return
	}
	e.Decisions.Info("attempt failed", append(c.fields(e.Clock.Now()),
		zap.String("host", member.Name), zap.Uint64("member_sequence", member.Sequence),
		zap.Int("code", int(end.failure.Code)), zap.String("outcome", string(end.failure.Outcome)),
		zap.Bool("unsent", end.unsent), zap.Bool("died", end.died), zap.Int64("wait_ms", int64(end.wait)),
		zap.Int("running", end.load.Running), zap.Int("queued", end.load.Queued), zap.Bool("load_known", end.reported),
		zap.String("cause", end.failure.Reason), zap.Bool("again", decision.Retry),
		zap.String("reason", string(decision.Reason)))...)
}

// logEnd tells with which failure a request ended.
func (e *Entry) logEnd(c *call, failure *classifier.Error) {
	if c == nil || !e.Decisions.Allow() {
		return
	}
	e.Decisions.Info("request failed", append(c.fields(e.Clock.Now()),
		zap.Int("code", int(failure.Code)), zap.String("outcome", string(failure.Outcome)),
		zap.Int("reached", c.reached), zap.Int64("wait_ms", int64(retryAfter(failure, e.Clock.Now()))),
		zap.String("cause", failure.Reason))...)
}

// fields are those by which a line is found and that decide about a request at its entry node.
func (c *call) fields(now timekeeper.Millis) []zap.Field {
	return []zap.Field{
		zap.String("id", c.job.ID), zap.String("call", c.job.Call), zap.String("service", c.job.Service),
		zap.Uint64("version", c.route.Version), zap.Int("attempt", c.job.Attempt),
		zap.Int64("remaining_ms", int64(c.deadline-now)), zap.Bool("late", c.job.Late),
	}
}

// logFailure tells why a host node has no answer of the upstream for an attempt.
func (h *Host) logFailure(x *run, failure *classifier.Error) {
	if !h.Decisions.Allow() {
		return
	}
	load := h.Queue.Load()
	h.Decisions.Info("attempt without an answer", zap.String("id", x.ID), zap.Int("attempt", x.Attempt),
		zap.String("call", x.Call), zap.String("instance", x.instance), zap.Int("code", int(failure.Code)),
		zap.String("outcome", string(failure.Outcome)), zap.Int("running", load.Running), zap.Int("queued", load.Queued),
		zap.Int("slots", load.Slots), zap.Int64("remaining_ms", int64(x.deadline-h.Clock.Now())),
		zap.Bool("late", x.Late), zap.String("cause", failure.Reason))
}

// logAnswer tells of a failure that the upstream itself reported. It is passed on as it is.
func (h *Host) logAnswer(x *run, a *answer) {
	if a.status < http.StatusInternalServerError || !h.Decisions.Allow() {
		return
	}
	h.Decisions.Info("upstream reported a failure", zap.String("id", x.ID), zap.Int("attempt", x.Attempt),
		zap.String("call", x.Call), zap.String("instance", x.instance), zap.Int("status", a.status),
		zap.Int64("granted_ms", int64(x.Remaining)), zap.Int64("remaining_ms", int64(x.deadline-h.Clock.Now())))
}
