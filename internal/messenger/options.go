package messenger

import (
	"context"
	"net"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Defaults of Options. A server keeps an idle connection longer than a client does, so that a client never
// sends a call on a connection that the server is about to close.
const (
	defaultIdleTimeout    = 30 * timekeeper.Second
	defaultMaxIdlePerPeer = 8
	// defaultMaxIdleTotal bounds the open files of a node: when many members start at once, each connects to nearly
	// all others of its data centre within seconds. Without this limit, 200 nodes in one process exceeded 20,000 open
	// files.
	defaultMaxIdleTotal   = 40
	defaultMaxConnections = 8192
	serverIdleFactor      = 2
)

// Options configure a Client or a Server. The zero value of each field is a usable default.
type Options struct {
	Zone           string            // data centre of this node, announced on each connection
	Traffic        *Traffic          // byte counters; a client and a server may share them
	IdleTimeout    timekeeper.Millis // how long a client keeps an idle connection; a server waits twice as long
	MaxIdlePerPeer int               // idle connections that a client keeps per peer
	MaxIdleTotal   int               // idle connections that a client keeps in total
	MaxConnections int               // simultaneous connections that a server accepts
	Logger         *zap.Logger
	Dial           func(ctx context.Context, address string) (net.Conn, error) // opens connections; nil for TCP
}

func (o *Options) setDefaults() {
	if o.Traffic == nil {
		o.Traffic = &Traffic{}
	}
	if o.IdleTimeout <= 0 {
		o.IdleTimeout = defaultIdleTimeout
	}
	if o.MaxIdlePerPeer <= 0 {
		o.MaxIdlePerPeer = defaultMaxIdlePerPeer
	}
	if o.MaxIdleTotal <= 0 {
		o.MaxIdleTotal = defaultMaxIdleTotal
	}
	if o.MaxConnections <= 0 {
		o.MaxConnections = defaultMaxConnections
	}
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	if o.Dial == nil {
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			var dialer net.Dialer
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
}
