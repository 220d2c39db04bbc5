package registrar

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// State is what a node believes of the upstream beside it. It is a value: Registrar hands out copies.
type State struct {
	Heartbeat
	Ready   bool              // takes new work
	Started timekeeper.Millis // when its slow start is over, by the clock of the node
}
