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

// recordTimeout bounds the work on a record after the call itself ended.
const recordTimeout = timekeeper.Second

// oversized stands for a body that is too long to be kept: the deduplicator remembers the run without its answer.
var oversized = make([]byte, keptBytes+1)

// claim settles the claim of a non-idempotent request. It reports true when the first answer to the id was sent.
func (h *Host) claim(ctx context.Context, x *run) (served bool, failure *classifier.Error) {
	if x.Idempotent || h.Coordinator == nil {
		return false, nil
	}
	for {
		decision, err := h.Coordinator.Claim(ctx, x.claim)
		if err != nil {
			return false, unclaimed(ctx, x, err)
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

// unclaimed is the failure of a request whose claim got no decision. This attempt did not run, but an id from a caller
// may have run before.
func unclaimed(ctx context.Context, x *run, err error) *classifier.Error {
	code := classifier.CodeIDUncertain
	if ctx.Err() != nil {
		code = classifier.CodeDeadlinePassed
	}
	if x.Fresh {
		return classifier.Refuse(code, x.ID, "no decision on the claim: %v", err)
	}
	return classifier.Unknown(code, x.ID, "no decision on the claim: %v", err)
}

// unclaim gives back the claim of a request that did not start.
func (h *Host) unclaim(x *run) {
	if !x.claimed {
		return
	}
	x.writer.Header()[headerCertain] = []string{"1"}
	h.background(x, func(ctx context.Context) error { return h.Coordinator.Release(ctx, x.claim) })
}

// record keeps the end of a run that had a claim.
func (h *Host) record(x *run, a *answer, failure *classifier.Error) {
	if !x.claimed {
		return
	}
	if failure != nil && failure.Outcome == classifier.OutcomeNotRun {
		h.unclaim(x)
		return
	}
	kept := deduplicator.Answer{}
	if failure == nil {
		kept.Status, kept.Header = a.status, make(http.Header, len(a.header))
		passHeaders(kept.Header, a.header)
		switch {
		case a.stream != nil:
			kept.Body = oversized
		case a.body != nil:
			kept.Body = bytes.Clone(a.body.bytes)
		}
		kept.Digest = xxhash.Sum64(kept.Body)
	}
	h.background(x, func(ctx context.Context) error { return h.Coordinator.Complete(ctx, x.claim, kept) })
}

// background runs work on a record beside the response. The gate counts it, so that a drain waits for it.
func (h *Host) background(x *run, work func(ctx context.Context) error) {
	if h.Gate != nil {
		h.Gate.Hold()
	}
	go func() {
		if h.Gate != nil {
			defer h.Gate.End()
		}
		ctx, cancel := context.WithTimeout(context.Background(), recordTimeout.Duration())
		defer cancel()
		if err := work(ctx); err != nil && h.Logger != nil && !errors.Is(err, context.Canceled) {
			h.Logger.Warn("forwarder: a record did not reach its owners", zap.String("id", x.ID), zap.Error(err))
		}
	}()
}

// replay answers with the first answer to the id.
func (h *Host) replay(x *run, first *deduplicator.Answer) {
	a := &answer{status: first.Status, header: first.Header, length: int64(len(first.Body))}
	a.body = foreignBuffer(first.Body)
	a.write(x.writer, x.job, encodeLoad(h.Queue.Load(), 0, h.faults.value()))
}

// deathCount is the highest number of ends of the upstream that were reported.
type deathCount struct {
	value atomic.Uint64
}

// raise reports whether this caller is the first to report the end with the number.
func (d *deathCount) raise(number uint64) bool {
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

// examine finds out whether the upstream ended under a run whose connection broke, and reports all requests that ran
// there then.
func (h *Host) examine(x *run, failure *classifier.Error, generation uint64) {
	if h.Prober == nil || !errors.As(failure.Cause, new(*brokenError)) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout.Duration())
	defer cancel()
	alive := h.Prober.Check(ctx)
	restarts := h.Prober.Restarts()
	if restarts == generation {
		return
	}
	x.writer.Header()[headerDied] = []string{"1"}
	if h.Isolator != nil && h.reported.raise(restarts) {
		h.Isolator.RecordCrash(h.survivors.Suspects(h.attempts.suspects(restarts)), h.Name)
	}
	if h.Logger != nil {
		h.Logger.Warn("forwarder: the upstream ended during a run", zap.String("id", x.ID), zap.Bool("alive", alive))
	}
}

// brokenError marks a failure whose connection to the upstream broke during a run.
type brokenError struct {
	cause error
}

// Error implements error.
func (b *brokenError) Error() string {
	return b.cause.Error()
}

// Unwrap returns the cause.
func (b *brokenError) Unwrap() error {
	return b.cause
}
