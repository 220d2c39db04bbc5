// Package forwarder carries requests over HTTP: from the caller to the host node and from there to the upstream.
package forwarder

import (
	"context"
	"net"
	"net/http"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/deduplicator"
	"github.com/jasmineproxy/jasmineproxy/internal/isolator"
	"github.com/jasmineproxy/jasmineproxy/internal/logger"
	"github.com/jasmineproxy/jasmineproxy/internal/retrier"
	"github.com/jasmineproxy/jasmineproxy/internal/router"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// defaultMaxBody bounds a request body when the settings name no limit.
	defaultMaxBody = 1 << 20
	// keptBytes bounds an answer that is read whole before it is passed on and kept for its record.
	keptBytes = 64 << 10
	// maxDepth bounds a chain of calls.
	maxDepth = 16
)

// Views gives the configuration in force; *follower.Follower satisfies it.
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
	Begin() bool // false once the node drains
	Hold()       // for work that outlives a call that was let in
	End()
}

// Prober tells whether the local upstream died; *prober.Prober satisfies it.
type Prober interface {
	Alive() bool
	Check(ctx context.Context) bool
	Restarts() uint64
}

// Isolator refuses requests that crash upstreams; *isolator.Isolator satisfies it.
type Isolator interface {
	Check(key isolator.Key) error
	RecordCrash(keys []isolator.Key, host string)
}

// Options are the parts that NewEntry and NewHost assemble. Parts that are nil are left out.
type Options struct {
	Clock  timekeeper.Clock
	Logger *zap.Logger
	// Decisions gets a line for each failed attempt and request; nil for none.
	Decisions *logger.Decisions
	Name      string // member name of this node
	Service   string // service of the upstream beside this node
	// Incarnation is that of the process in the membership table at its start, and CurrentIncarnation returns the present
	// one: a process whose clock is behind that of the one before it raises its own. Nil if it is not raised.
	Incarnation        uint64
	CurrentIncarnation func() uint64
	Zone               string
	Gate               Gate
	Dial               func(ctx context.Context, network, address string) (net.Conn, error) // nil for TCP

	// Entry node.
	Views   Views
	Picker  *router.Picker
	Caller  Caller
	Retrier *retrier.Retrier
	// NewID makes the id of a non-idempotent request without one; nil for an id without a mark.
	NewID func(account, call string) string
	// HomeZone returns the data centre that remembers an id from a caller; nil for no preference.
	HomeZone func(id, account, call string) string
	Internal string // secret of internal calls; empty refuses them all
	MaxBody  int64  // bytes of a request body; 0 for 1 MiB
	// OpaqueIDs takes ids of any form from callers, which never present one twice. The mesh then keeps no records of ids.
	OpaqueIDs bool

	// Both.
	Coordinator deduplicator.Coordinator
	Isolator    Isolator

	// Host node.
	Queue    *admitter.Queue
	Prober   Prober
	Upstream string // address of the upstream, such as 127.0.0.1:9000
	// Instance returns the id of the upstream's present process, false if none takes new work; nil for no such id.
	Instance func() (id string, ok bool)
	// WrapTransport adds the protocol of the upstream to the transport; nil for the project's own.
	WrapTransport func(http.RoundTripper) http.RoundTripper
	Connections   int // connections to the upstream; 0 for no bound
}
