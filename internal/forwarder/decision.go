package forwarder

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/retrier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// logAttemptFailure logs how an attempt failed and whether it is retried.
func (e *Entry) logAttemptFailure(c *call, member *tracker.Member, result *attemptResult, decision retrier.Decision) {
	if !e.Decisions.Allow() {
		return
	}
	e.Decisions.Info("attempt failed", append(c.fields(e.Clock.Now()),
		zap.String("host", member.Name), zap.Uint64("member_sequence", member.Sequence),
		zap.Int("code", int(result.failure.Code)), zap.String("outcome", string(result.failure.Outcome)),
		zap.Bool("unsent", result.unsent), zap.Bool("died", result.upstreamCrashed),
		zap.Int64("wait_ms", int64(result.retryDelay)), zap.Int("running", result.load.Running),
		zap.Int("queued", result.load.Queued), zap.Bool("load_known", result.loadReported),
		zap.String("cause", result.failure.Reason), zap.Bool("again", decision.Retry),
		zap.String("reason", string(decision.Reason)))...)
}

// logAbandonedExchange logs why an exchange in flight is aborted: the state that the host node reported for the call,
// or err if it did not respond.
func (e *Entry) logAbandonedExchange(exchange *watchedExchange, state State, err error) {
	if !e.Decisions.Allow() {
		return
	}
	now := e.Clock.Now()
	e.Decisions.Info("exchange abandoned", zap.String("id", exchange.query.ID),
		zap.Int("attempt", exchange.query.Attempt), zap.String("peer", exchange.peer), zap.String("state", string(state)),
		zap.Int("failed_polls", exchange.failedPolls), zap.Int64("silent_ms", int64(now-exchange.heard)),
		zap.Int64("remaining_ms", int64(exchange.query.Deadline-now)), zap.Error(err))
}

// logRequestFailure logs the failure with which a request ended.
func (e *Entry) logRequestFailure(c *call, failure *classifier.Error) {
	if c == nil || !e.Decisions.Allow() {
		return
	}
	e.Decisions.Info("request failed", append(c.fields(e.Clock.Now()),
		zap.Int("code", int(failure.Code)), zap.String("outcome", string(failure.Outcome)),
		zap.Int("reached", c.reached), zap.Int64("wait_ms", int64(retryAfter(failure, e.Clock.Now()))),
		zap.String("cause", failure.Reason))...)
}

// fields returns the log fields that identify a request and determine how its entry node handles it.
func (c *call) fields(now timekeeper.Millis) []zap.Field {
	return []zap.Field{
		zap.String("id", c.job.ID), zap.String("call", c.job.Call), zap.String("service", c.job.Service),
		zap.Uint64("version", c.route.Version), zap.Int("attempt", c.job.Attempt),
		zap.Int64("remaining_ms", int64(c.deadline-now)), zap.Bool("late", c.job.Late),
	}
}

// logHostFailure logs why an attempt got no response from the upstream.
func (h *Host) logHostFailure(x *hostAttempt, failure *classifier.Error) {
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

// logUnreadableLimit logs that the upstream stated a limit that cannot be read.
func (h *Host) logUnreadableLimit(x *hostAttempt, err error) {
	if h.Decisions.Allow() {
		h.Decisions.Info("limit of the upstream ignored", zap.String("id", x.ID), zap.String("instance", x.instance),
			zap.Error(err))
	}
}

// logUpstreamFailure logs a server error of the upstream, which is passed on unchanged.
func (h *Host) logUpstreamFailure(x *hostAttempt, a *upstreamResponse) {
	if a.status < http.StatusInternalServerError || !h.Decisions.Allow() {
		return
	}
	h.Decisions.Info("upstream reported a failure", zap.String("id", x.ID), zap.Int("attempt", x.Attempt),
		zap.String("call", x.Call), zap.String("instance", x.instance), zap.Int("status", a.status),
		zap.Int64("granted_ms", int64(x.Remaining)), zap.Int64("remaining_ms", int64(x.deadline-h.Clock.Now())))
}
