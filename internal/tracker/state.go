package tracker

// State is what a member says of itself.
type State uint8

// States of a member.
const (
	// StateStarting is a node that is not ready or whose upstream is not.
	StateStarting State = iota
	// StateReady takes new work.
	StateReady
	// StateDraining finishes its work and takes no new work.
	StateDraining
)
