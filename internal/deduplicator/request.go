// Package deduplicator runs a request with a non-idempotent request id at most once. A host node claims the id at its
// owners before it runs the request. The owners store the claim and the first answer.
package deduplicator

import (
	"context"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Request is an attempt to run a request id at a host node. Host and Incarnation identify the process that the entry
// node sent the attempt to. Any other process refuses the attempt, because it may have been settled with the intended
// process. Fresh means that the entry node created the id for this request. Deadline is in ms since the Unix epoch; 0
// means none. Sequence comes from the Proceed decision and distinguishes attempts with the same number in Release and
// Complete.
type Request struct {
	ID          string
	Attempt     int
	Host        string
	Incarnation uint64
	Account     string
	Call        string
	Fresh       bool
	Deadline    timekeeper.Millis
	Sequence    uint64
}

// Answer is the complete response to a request. Digest is the xxhash of the body.
type Answer struct {
	Status int                 `msgpack:"s"`
	Header map[string][]string `msgpack:"h"`
	Body   []byte              `msgpack:"b"`
	Digest uint64              `msgpack:"d"`
}

// Decision is what a host node does with a request: Proceed, Replay, Wait or Refuse.
type Decision interface{ decision() }

// Proceed lets the host node run the request. The run must not start after Until (host's clock), because the owners may
// remove the claim later. Sequence must be set in the Request for Release or Complete.
type Proceed struct {
	Until    timekeeper.Millis
	Sequence uint64
}

// Replay returns the first answer of the id.
type Replay struct{ Answer Answer }

// Wait means that another attempt has claimed the id. The caller claims again after After ms, or answers "unknown" once
// its deadline passes.
type Wait struct {
	Record Record
	After  timekeeper.Millis
}

// Refuse ends the attempt with a numbered error whose outcome is "notrun" or "unknown".
type Refuse struct{ Error *classifier.Error }

func (Proceed) decision() {}
func (Replay) decision()  {}
func (Wait) decision()    {}
func (Refuse) decision()  {}

// Coordinator decides on the attempts of a host node.
type Coordinator interface {
	// Claim decides whether the request may run. With an error there is no decision and the attempt is released.
	Claim(ctx context.Context, r Request) (Decision, error)
	// Release certifies that the attempt did not start and never will.
	Release(ctx context.Context, r Request) error
	// Complete records the first answer of an attempt that ran. Status 0 means that the run ended without a complete
	// answer, so that repeated requests get "unknown" instead of waiting.
	Complete(ctx context.Context, r Request, a Answer) error
	// Lookup returns the most advanced record of an id at its owners and its host. It is in StateNone if there is none.
	Lookup(ctx context.Context, id string) (Record, error)
}

// Caller sends a call to the node at a peer address. The messenger implements it.
type Caller interface {
	Call(ctx context.Context, peer, method string, arguments, reply any, timeout timekeeper.Millis) error
}
