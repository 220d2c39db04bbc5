package tracker

// Health is what other members found out about a member.
type Health uint8

// Health levels, in the order in which they supersede each other.
const (
	// HealthAlive answers pings.
	HealthAlive Health = iota
	// HealthSuspect missed its pings and may still refute.
	HealthSuspect
	// HealthFailed was suspected for too long.
	HealthFailed
	// HealthLeft ended in a planned way.
	HealthLeft
)
