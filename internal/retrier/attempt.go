// Package retrier decides whether a failed attempt is retried, within a retry budget per service.
package retrier

import (
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Attempt describes a failed attempt at an entry node. Number counts from 1. Crashes counts the attempts of this
// request during which the upstream crashed, including this one. PartOfRetry is true if the request arrived as part of
// a retry by another node or caller. Deadline is in ms since the Unix epoch. After is the retry hint of a refusal, in
// ms.
type Attempt struct {
	Service     string
	Number      int
	Outcome     classifier.Outcome
	Code        classifier.Code
	Idempotent  bool
	PartOfRetry bool
	Crashes     int
	Unsent      bool // no upstream received the attempt, so a retry does not use the budget
	Deadline    timekeeper.Millis
	After       timekeeper.Millis
}

// Reason explains a decision.
type Reason string

// Reasons of decisions.
const (
	ReasonRetry       Reason = "retry"
	ReasonAnswered    Reason = "answered"
	ReasonPartOfRetry Reason = "part of a retry"
	ReasonAttempts    Reason = "attempts used up"
	ReasonMayHaveRun  Reason = "may have run"
	ReasonCrash       Reason = "upstream died twice"
	ReasonPermanent   Reason = "another attempt would fail too"
	ReasonDeadline    Reason = "deadline too close"
	ReasonBudget      Reason = "budget used up"
)

// Decision says whether to retry the request, after how many ms, and why.
type Decision struct {
	Retry  bool
	After  timekeeper.Millis
	Reason Reason
}

// MaxAttempts bounds the attempts of a request, the first one included.
const MaxAttempts = 3

// deny returns a decision against a retry.
func deny(reason Reason) Decision {
	return Decision{Reason: reason}
}

// DecideWithoutBudget decides on an attempt without checking the budget. It is a pure function.
func DecideWithoutBudget(now timekeeper.Millis, a Attempt) Decision {
	return decide(now, a, overrides{})
}

// overrides are the rules that tests turn off to show that they are needed.
type overrides struct {
	ignoreBudget     bool // the budget is not checked
	retryPartOfRetry bool // requests that are part of a retry are retried
	retryMayHaveRun  bool // requests that may have run are retried although they are not idempotent
}

// decide is DecideWithoutBudget with some rules turned off.
func decide(now timekeeper.Millis, a Attempt, off overrides) Decision {
	switch {
	case a.Outcome == classifier.OutcomeAnswered:
		return deny(ReasonAnswered)
	case a.PartOfRetry && !off.retryPartOfRetry:
		return deny(ReasonPartOfRetry)
	case a.Number >= MaxAttempts:
		return deny(ReasonAttempts)
	case a.Outcome != classifier.OutcomeNotRun && !a.Idempotent && !off.retryMayHaveRun:
		return deny(ReasonMayHaveRun)
	case a.Crashes > 1:
		return deny(ReasonCrash)
	case permanent(a.Code):
		return deny(ReasonPermanent)
	case now+a.After >= a.Deadline:
		return deny(ReasonDeadline)
	}
	return Decision{Retry: true, After: a.After, Reason: ReasonRetry}
}

// permanent reports whether an attempt on any other node would fail with the same code.
func permanent(code classifier.Code) bool {
	switch code {
	case classifier.CodeUnknownHost, classifier.CodeUnknownCall, classifier.CodeBodyTooLarge,
		classifier.CodeDeadlinePassed, classifier.CodeIDMalformed, classifier.CodeInternalCall, classifier.CodeTooDeep,
		classifier.CodeIDFuture, classifier.CodeIDExpired, classifier.CodeIDUncertain, classifier.CodeDuplicateRunning,
		classifier.CodeIsolated, classifier.CodeCanceled, classifier.CodeAnswerGone:
		return true
	}
	return false
}
