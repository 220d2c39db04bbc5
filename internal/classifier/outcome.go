package classifier

// Outcome states whether a request ran.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeAnswered means that the upstream ran the request and its complete response was received.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun means that no upstream started the request and none will.
	OutcomeNotRun Outcome = "notrun"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "unknown"
)
