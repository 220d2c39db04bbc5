package administrator

import (
	"context"

	"github.com/jasmineproxy/jasmineproxy/internal/auditor"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// Publisher accepts sets of edits and reads what is published. *publisher.Publisher implements it.
type Publisher interface {
	// Submit returns the version that contains the set, or a *publisher.RefusedError or *classifier.Error.
	Submit(ctx context.Context, set publisher.Set) (publisher.Result, error)
	// Sources returns the current sources with all accepted sets in place.
	Sources(ctx context.Context) ([]compiler.Source, error)
	// Refusals returns the last refused sets, oldest first.
	Refusals(ctx context.Context) ([]publisher.Refusal, error)
	// Version returns a published version, or CodeVersionMissing if it is not kept.
	Version(ctx context.Context, version uint64) (compiler.View, error)
}

// Auditor keeps the audit trail. *auditor.Auditor implements it.
type Auditor interface {
	Record(ctx context.Context, entry auditor.Entry)
	List(ctx context.Context, limit int) ([]auditor.Entry, error)
}

// Views tells which configuration the node has in force. *follower.Follower implements it.
type Views interface {
	Active() *compiler.View // nil before the first
	Ready() bool
	Known() uint64
	Floor() uint64
}

// Members is the membership table. *tracker.Tracker implements it.
type Members interface {
	Zone(name string) []tracker.Member
	Relays(zone string) []tracker.Member
}

// Mark is a request, or a kind of request, that is refused because it is suspected to crash upstreams.
type Mark struct {
	Account string            `json:"account"`
	Call    string            `json:"call"`
	Kind    string            `json:"kind"` // id, fingerprint or call
	Until   timekeeper.Millis `json:"until"`
}
