// Package deduplicator makes a non-idempotent request id run at most once. The owners of an id remember who claimed
// it and its first answer; a host node claims an id at its owners before it runs the request.
package deduplicator

import (
	"context"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Request is one attempt to run a request id at a host node. Host and Incarnation name the process that the entry node
// sent the attempt to; another process refuses it, because the attempt may have been settled with the first one. Fresh
// says that the entry node created the id for this request. Deadline is in ms since the Unix epoch; 0 means none.
// Sequence is that of the Proceed decision and tells two attempts with the same number apart in Release and Complete.
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

// Proceed lets the host node run the request. The run must not start after Until (host's clock): later than that,
// owners no longer remember the claim. Sequence goes into the Request given to Release or Complete.
type Proceed struct {
	Until    timekeeper.Millis
	Sequence uint64
}

// Replay gives the first answer to the id.
type Replay struct{ Answer Answer }

// Wait says that another attempt holds the id. The caller asks again after After ms, or answers "unknown" when it
// runs out of time.
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
	// Claim decides whether the request may run. An error means that no decision was reached; the attempt is released.
	Claim(ctx context.Context, r Request) (Decision, error)
	// Release certifies that the attempt did not start and never will.
	Release(ctx context.Context, r Request) error
	// Complete records the first answer of an attempt that ran. Status 0 records that the run ended without a complete
	// answer, so that repeats get "unknown" instead of waiting.
	Complete(ctx context.Context, r Request, a Answer) error
	// Lookup returns what the owners and the host know of an id. A record in StateNone means nothing is known.
	Lookup(ctx context.Context, id string) (Record, error)
}

// Caller sends one call to the node at a peer address. It is the messenger's interface.
type Caller interface {
	Call(ctx context.Context, peer, method string, arguments, reply any, timeout timekeeper.Millis) error
}
