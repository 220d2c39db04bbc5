package administrator

import (
	"context"

	"github.com/jasmineproxy/jasmineproxy/internal/auditor"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// Publisher accepts sets of edits and reads published configuration. *publisher.Publisher implements it.
type Publisher interface {
	// Submit returns the version that contains the set, or a *publisher.RefusedError or *classifier.Error.
	Submit(ctx context.Context, set publisher.Set) (publisher.Result, error)
	// Sources returns the current sources, including all accepted sets.
	Sources(ctx context.Context) ([]compiler.Source, error)
	// Refusals returns the most recently refused sets, oldest first.
	Refusals(ctx context.Context) ([]publisher.Refusal, error)
	// Version returns the view of a published version, or CodeVersionMissing if the version is not retained.
	Version(ctx context.Context, version uint64) (compiler.View, error)
}

// Auditor records and lists entries of the audit trail. *auditor.Auditor implements it.
type Auditor interface {
	// Record queues an entry without blocking.
	Record(ctx context.Context, entry auditor.Entry)
	// List returns at most limit entries, newest first.
	List(ctx context.Context, limit int) ([]auditor.Entry, error)
}

// Views returns the active configuration of the node and the versions it knows. *follower.Follower implements it.
type Views interface {
	// Active returns the active view, or nil until there is one.
	Active() *compiler.View
	// Ready reports whether the node may serve: the active version is at or above the floor.
	Ready() bool
	// Known returns the highest version that the node has verified completely.
	Known() uint64
	// Floor returns the version below which the node must not serve.
	Floor() uint64
}

// Members reads the membership table of the mesh. *tracker.Tracker implements it.
type Members interface {
	// Zone returns the members of a data centre.
	Zone(name string) []tracker.Member
	// Relays returns the relays of a data centre.
	Relays(zone string) []tracker.Member
}

// Mark is a crash mark: a request or a class of requests that is refused because it may crash upstreams.
type Mark struct {
	Account string            `json:"account"`
	Call    string            `json:"call"`
	Kind    string            `json:"kind"`  // id, fingerprint or call
	Until   timekeeper.Millis `json:"until"` // time when the mark expires
}
