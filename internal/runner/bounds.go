package runner

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// Bounds are what a platform asks of its hosted nodes.
type Bounds struct {
	Apply   timekeeper.Millis // from the write of a configuration until it is in force on every node
	Grace   timekeeper.Millis // from the order to stop until the process is killed
	Retries float64           // repeated requests of a service, as a share of its requests
}

// DefaultBounds returns the bounds of a platform that states none. They are those of the deployments of today.
func DefaultBounds() Bounds {
	return Bounds{Apply: 2 * timekeeper.Second, Grace: 6 * timekeeper.Second, Retries: 0.2}
}
