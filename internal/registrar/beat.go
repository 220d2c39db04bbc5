// Package registrar keeps what the upstream beside a node announces of itself.
package registrar

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// Heartbeat is one heartbeat of an upstream.
type Heartbeat struct {
	ID          string            // names the process of the upstream; a restart may keep it
	Service     string            // service that the upstream belongs to
	Address     string            // where it takes requests, IP:port
	Leaving     bool              // it finishes its work and ends
	Slots       int               // requests that it runs at once
	ColdStart   timekeeper.Millis // how much longer it is slow after its start
	Sequence    uint64            // rises with each heartbeat of one process
	Incarnation uint64            // start of the process, ms since the Unix epoch by its own clock
}

// Deregistration is the last message of an upstream that ends.
type Deregistration struct {
	ID          string
	Incarnation uint64 // 0 if the message does not say
}
