// Package registrar tracks the upstream beside a node by its heartbeats, health checks and connections.
package registrar

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// Heartbeat is a periodic message in which an upstream reports its state.
type Heartbeat struct {
	ID          string            // identifies the process of the upstream; a restart may keep it
	Service     string            // service that the upstream implements
	Version     string            // of the upstream's software
	Address     string            // where the upstream accepts requests, IP:port
	Leaving     bool              // the upstream finishes its requests and exits
	Slots       int               // number of requests that the upstream runs concurrently
	ColdStart   timekeeper.Millis // remaining time of the slow start, in ms
	Sequence    uint64            // increases with each heartbeat of a process
	Incarnation uint64            // start time of the process, ms since the Unix epoch by its own clock
}

// Deregistration is the last message of an upstream before it exits.
type Deregistration struct {
	ID          string
	Incarnation uint64 // 0 if the message does not include it
}
