package forwarder

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/deduplicator"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// recordTimeout bounds the update of a record and the check for a crash, which outlast the run.
const recordTimeout = timekeeper.Second

// oversized replaces a body that is too long to be stored: the deduplicator records the run without its answer.
var oversized = make([]byte, maxBufferedBytes+1)

// claim claims the id of a non-idempotent request. It reports true if it sent the stored answer to the id.
func (h *Host) claim(ctx context.Context, x *hostAttempt) (served bool, failure *classifier.Error) {
	if x.Idempotent || h.Coordinator == nil {
		return false, nil
	}
	for {
		decision, err := h.Coordinator.Claim(ctx, x.claim)
		if err != nil {
			return false, claimFailure(ctx, x, err)
		}
		switch d := decision.(type) {
		case deduplicator.Proceed:
			x.claim.Sequence, x.claimed = d.Sequence, true
			x.deadline = min(x.deadline, d.Until)
			return false, nil
		case deduplicator.Replay:
			h.replay(x, &d.Answer)
			return true, nil
		case deduplicator.Refuse:
			return false, d.Error
		case deduplicator.Wait:
			timer := time.NewTimer(max(d.After, 1).Duration())
			select {
			case <-timer.C:
			case <-ctx.Done():
				timer.Stop()
				return false, classifier.Unknown(classifier.CodeDuplicateRunning, x.ID, "another attempt of the id is running")
			}
		}
	}
}

// claimFailure returns the failure of a request whose claim got no decision. This attempt did not run, but an id from a
// caller may have run before.
func claimFailure(ctx context.Context, x *hostAttempt, err error) *classifier.Error {
	code := classifier.CodeIDUncertain
	if ctx.Err() != nil {
		code = classifier.CodeDeadlinePassed
	}
	if x.Fresh {
		return classifier.Refuse(code, x.ID, "no decision on the claim: %v", err)
	}
	return classifier.Unknown(code, x.ID, "no decision on the claim: %v", err)
}

// releaseClaim releases the claim of a request that did not start.
func (h *Host) releaseClaim(x *hostAttempt) {
	if !x.claimed {
		return
	}
	x.writer.Header()[headerCertain] = []string{"1"}
	h.updateRecord(x, func(ctx context.Context) error { return h.Coordinator.Release(ctx, x.claim) })
}

// completeClaim records the outcome of a run that had a claim.
func (h *Host) completeClaim(x *hostAttempt, a *upstreamResponse, failure *classifier.Error) {
	if !x.claimed {
		return
	}
	if failure != nil && failure.Outcome == classifier.OutcomeNotRun {
		h.releaseClaim(x)
		return
	}
	stored := deduplicator.Answer{}
	if failure == nil {
		stored.Status, stored.Header = a.status, make(http.Header, len(a.header))
		passHeaders(stored.Header, a.header)
		switch {
		case a.stream != nil || a.body.size() > maxBufferedBytes:
			stored.Body = oversized
		case a.body != nil:
			stored.Body = bytes.Clone(a.body.bytes)
		}
		stored.Digest = xxhash.Sum64(stored.Body)
	}
	h.updateRecord(x, func(ctx context.Context) error { return h.Coordinator.Complete(ctx, x.claim, stored) })
}

// updateRecord updates a record in the background. The gate counts the update, so that a drain waits for it.
func (h *Host) updateRecord(x *hostAttempt, update func(ctx context.Context) error) {
	if h.Gate != nil {
		h.Gate.BeginBackground()
	}
	go func() {
		if h.Gate != nil {
			defer h.Gate.End()
		}
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout.Duration())
		defer cancel()
		if err := update(ctx); err != nil && h.Logger != nil && !errors.Is(err, context.Canceled) {
			h.Logger.Warn("forwarder: a record did not reach its owners", zap.String("id", x.ID), zap.Error(err))
		}
	}()
}

// replay sends the stored answer to the id.
func (h *Host) replay(x *hostAttempt, first *deduplicator.Answer) {
	a := &upstreamResponse{status: first.Status, header: first.Header, length: int64(len(first.Body))}
	a.body = unpooledBuffer(first.Body)
	a.write(x.writer, x.writer, x.job, encodeLoad(h.Queue.Load(), 0, h.failureRate.permille()))
}

// crashCount is the number of upstream restarts up to which crashes were reported.
type crashCount struct {
	value atomic.Uint64
}

// raise raises the count to number. It returns false if a crash with this or a higher number was reported before.
func (d *crashCount) raise(number uint64) bool {
	for {
		old := d.value.Load()
		if old >= number {
			return false
		}
		if d.value.CompareAndSwap(old, number) {
			return true
		}
	}
}

// checkForCrash probes the upstream after a run whose connection broke. If the number of restarts has changed since the
// run started, it sets the header Jasmine-Died and reports the crash once, with all requests that were running then.
func (h *Host) checkForCrash(x *hostAttempt, failure *classifier.Error, restartsBefore uint64) {
	if h.Prober == nil || !errors.As(failure.Cause, new(*brokenConnectionError)) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout.Duration())
	defer cancel()
	alive := h.Prober.Check(ctx)
	restarts := h.Prober.Restarts()
	if restarts == restartsBefore {
		return
	}
	x.writer.Header()[headerDied] = []string{"1"}
	if h.Isolator != nil && h.reportedCrashes.raise(restarts) {
		h.Isolator.RecordCrash(h.answered.Suspects(h.attempts.suspects(restarts)), h.Name)
	}
	if h.Logger != nil {
		h.Logger.Warn("forwarder: the upstream ended during a run", zap.String("id", x.ID), zap.Bool("alive", alive))
	}
}

// brokenConnectionError marks a failure during a run whose connection to the upstream broke, or was closed for a
// response that is malformed or belongs to another request. The upstream may have crashed.
type brokenConnectionError struct {
	cause error
}

// Error implements error.
func (b *brokenConnectionError) Error() string {
	return b.cause.Error()
}

// Unwrap returns the cause.
func (b *brokenConnectionError) Unwrap() error {
	return b.cause
}
