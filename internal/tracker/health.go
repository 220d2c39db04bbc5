package tracker

// Health is the state of a member as detected by other members.
type Health uint8

// Health levels. A higher level supersedes a lower one of the same incarnation and sequence.
const (
	// HealthAlive is a member that replies to pings.
	HealthAlive Health = iota
	// HealthSuspect is a member that missed its pings and can still refute the suspicion.
	HealthSuspect
	// HealthFailed is a member that did not refute the suspicion in time.
	HealthFailed
	// HealthLeft is a member that announced its shutdown.
	HealthLeft
)
