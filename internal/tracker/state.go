package tracker

// State is the readiness that a member reports for itself.
type State uint8

// States of a member.
const (
	// StateStarting is a member whose node or upstream is not ready.
	StateStarting State = iota
	// StateReady is a member that accepts new calls.
	StateReady
	// StateDraining is a member that completes its calls and accepts no new ones.
	StateDraining
)
