// Package retrier decides whether a failed attempt is sent again, within a budget for each service.
package retrier

import (
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Attempt describes a failed attempt at an entry node. Number counts from 1. Crashes counts the attempts of this
// request during which the upstream died, this one included. PartOfRetry says that the request arrived as part of a
// retry of another node or caller. Deadline is in ms since the Unix epoch. After is the retry hint of a refusal in ms.
type Attempt struct {
	Service     string
	Number      int
	Outcome     classifier.Outcome
	Code        classifier.Code
	Idempotent  bool
	PartOfRetry bool
	Crashes     int
	Unsent      bool // no upstream received the attempt, so the next one costs nothing of the budget
	Deadline    timekeeper.Millis
	After       timekeeper.Millis
}

// Reason says why a decision was taken.
type Reason string

// Reasons of decisions.
const (
	ReasonRetry      Reason = "retry"
	ReasonAnswered   Reason = "answered"
	ReasonNested     Reason = "part of a retry"
	ReasonAttempts   Reason = "attempts used up"
	ReasonMayHaveRun Reason = "may have run"
	ReasonCrash      Reason = "upstream died twice"
	ReasonPermanent  Reason = "another attempt would fail too"
	ReasonDeadline   Reason = "deadline too close"
	ReasonBudget     Reason = "budget used up"
)

// Decision tells whether to send the request again, and after how many ms.
type Decision struct {
	Retry  bool
	After  timekeeper.Millis
	Reason Reason
}

// maxAttempts is the first attempt and two more.
const maxAttempts = 3

// deny returns a decision against a retry.
func deny(reason Reason) Decision {
	return Decision{Reason: reason}
}

// DecideWithoutBudget decides on an attempt without regard to the budget. It is a pure function.
func DecideWithoutBudget(now timekeeper.Millis, a Attempt) Decision {
	return judge(now, a, rules{})
}

// rules are the parts of the decision that tests turn off to show that they are needed.
type rules struct {
	unlimited bool // no budget
	nested    bool // retries of retries
	blind     bool // requests that may have run are sent again
}

// judge is DecideWithoutBudget with some rules turned off.
func judge(now timekeeper.Millis, a Attempt, off rules) Decision {
	switch {
	case a.Outcome == classifier.OutcomeAnswered:
		return deny(ReasonAnswered)
	case a.PartOfRetry && !off.nested:
		return deny(ReasonNested)
	case a.Number >= maxAttempts:
		return deny(ReasonAttempts)
	case a.Outcome != classifier.OutcomeNotRun && !a.Idempotent && !off.blind:
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

// permanent reports whether the code would be the same on any node.
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
