// Package forwarder carries requests over HTTP: from the caller to the host node and from there to the upstream.
package forwarder

import (
	"context"
	"net"
	"net/http"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/budgeter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/deduplicator"
	"github.com/jasmineproxy/jasmineproxy/internal/hedger"
	"github.com/jasmineproxy/jasmineproxy/internal/isolator"
	"github.com/jasmineproxy/jasmineproxy/internal/logger"
	"github.com/jasmineproxy/jasmineproxy/internal/retrier"
	"github.com/jasmineproxy/jasmineproxy/internal/router"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// defaultMaxBody bounds a request body, in bytes, when the settings give no limit.
	defaultMaxBody = 1 << 20
	// maxBufferedBytes bounds a body that is read whole: a request before admission, or a response before it is
	// forwarded and stored with its record.
	maxBufferedBytes = budgeter.MaxShort
	// maxDepth bounds a chain of nested calls.
	maxDepth = 16
)

// Views returns the active configuration; *follower.Follower satisfies it.
type Views interface {
	Active() *compiler.View
	Ready() bool
}

// Caller makes calls of the node protocol; messenger.Caller satisfies it.
type Caller interface {
	Call(ctx context.Context, peer, method string, arguments, reply any, timeout timekeeper.Millis) error
}

// Gate counts calls in flight and closes for a planned stop; *drainer.Drainer satisfies it.
type Gate interface {
	Begin() bool      // false once the node drains
	BeginBackground() // counts background work that outlasts an admitted call
	End()
}

// Prober reports crashes and restarts of the local upstream; *prober.Prober satisfies it.
type Prober interface {
	Alive() bool
	Check(ctx context.Context) bool
	Restarts() uint64
}

// Observer learns what the upstream states about itself in its responses; *registrar.Registrar satisfies it. The
// instance is the id of the process that responded; sent is the time at which the request was sent to it.
type Observer interface {
	ObserveLimit(instance string, limit admitter.Limit, sent timekeeper.Millis)
	ObserveLeaving(instance string, sent timekeeper.Millis)
}

// Isolator refuses requests that crash upstreams; *isolator.Isolator satisfies it.
type Isolator interface {
	Check(key isolator.Key) error
	RecordCrash(keys []isolator.Key, host string)
}

// Allotments bounds the requests of client accounts; *allotter.Allotter satisfies it.
type Allotments interface {
	// Take takes one request off the allotment. It fails with code 229.
	Take(ctx context.Context, client *compiler.Client) error
	// Return gives back a request that did not run.
	Return(client *compiler.Client)
}

// Rollout decides what the upstream may run while its service moves to another version; *rollouter.Gate satisfies it.
type Rollout interface {
	Open() bool  // whether the upstream takes new requests
	Begin() bool // counts a request that starts; false if it must not
	Record(call string, failed bool, duration timekeeper.Millis)
	NestedFailed() // a call that the upstream made within a run found no upstream that took it
}

// Options configures NewEntry and NewHost. Components that are nil are not used.
type Options struct {
	Clock  timekeeper.Clock
	Logger *zap.Logger
	// Decisions logs each failed attempt and request; nil logs none.
	Decisions *logger.Decisions
	Name      string // member name of this node
	Service   string // service of the upstream beside this node
	// Incarnation is that of the process in the membership table at its start. CurrentIncarnation returns the current
	// one: a process whose clock is behind that of its predecessor raises its incarnation. It is nil if the
	// incarnation is never raised.
	Incarnation        uint64
	CurrentIncarnation func() uint64
	Zone               string
	Gate               Gate
	// StopBy returns the time by which work must have ended because the node stops as planned; 0 if it does not stop.
	StopBy func() timekeeper.Millis
	Dial   func(ctx context.Context, network, address string) (net.Conn, error) // nil for TCP

	// Entry node.
	Views   Views
	Picker  *router.Picker
	Caller  Caller
	Retrier *retrier.Retrier
	// NewID returns an id for a non-idempotent request that has none. If it is nil, the id is a UUIDv7 without a home
	// data centre and without the check value in its last 32 bits by which deduplicator.ID.GeneratedByNode recognises
	// ids that a node generated.
	NewID func(account, call string) string
	// HomeZone returns the data centre that stores the records of an id from a caller; nil for no preference.
	HomeZone func(id, account, call string) string
	Internal string // secret of internal calls; if empty, all of them are refused
	MaxBody  int64  // bytes of a request body; 0 for 1 MiB
	// MaxAttempts bounds the attempts that the node has under way for callers; 0 for no bound.
	MaxAttempts int
	// Memory bounds the bodies that the node holds; nil for no bound.
	Memory *budgeter.Budget
	// Hedger sends second attempts of idempotent requests that are late; nil for none.
	Hedger *hedger.Hedger
	// KeysFresh reports whether the configuration was confirmed recently enough to accept keys; nil for always.
	KeysFresh func() bool
	// Allotments bounds the requests of client accounts over all nodes; nil for no bound.
	Allotments Allotments
	// CheckFraming refuses a request whose end can be read in two ways, if that is known; nil for no check.
	CheckFraming func(r *http.Request) (refusal *classifier.Error, known bool)
	// OpaqueIDs accepts ids of any form from callers that never send the same id twice. The mesh then keeps no records
	// of ids.
	OpaqueIDs bool

	// Entry node and host node.
	Bulk        *BulkPacer // spaces long responses; nil for none
	Coordinator deduplicator.Coordinator
	Isolator    Isolator
	Rollout     Rollout

	// Host node.
	Queue    *admitter.Queue
	Prober   Prober
	Observer Observer
	Upstream string // address of the upstream, such as 127.0.0.1:9000
	// Instance returns the id of the upstream's current process, false if none accepts new work; nil if processes have
	// no ids.
	Instance func() (id string, ok bool)
	// WrapTransport adds the protocol of the upstream to the transport; nil for the project's own.
	WrapTransport func(http.RoundTripper) http.RoundTripper
	Connections   int // limit of connections to the upstream; 0 for no limit
}
