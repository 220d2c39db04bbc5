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
	defaultIdle    = 30 * timekeeper.Second
	defaultMaxIdle = 8
	// defaultMaxTotal bounds the open files of a node: when many members start at once, each one talks to nearly all
	// others of its data centre within seconds. 200 nodes in one process passed 20,000 open files without it.
	defaultMaxTotal       = 40
	defaultMaxConnections = 8192
	serverIdleFactor      = 2
)

// Options are the settings of a Client or a Server. The zero value of each field is a usable default.
type Options struct {
	Zone           string            // data centre of this node, announced on each connection
	Traffic        *Traffic          // byte counters; a client and a server may share them
	Idle           timekeeper.Millis // how long a client keeps an unused connection
	MaxIdle        int               // unused connections that a client keeps per peer
	MaxTotal       int               // unused connections that a client keeps
	MaxConnections int               // connections that a server holds at once
	Logger         *zap.Logger
	Dial           func(ctx context.Context, address string) (net.Conn, error)
}

func (o *Options) fill() {
	if o.Traffic == nil {
		o.Traffic = &Traffic{}
	}
	if o.Idle <= 0 {
		o.Idle = defaultIdle
	}
	if o.MaxIdle <= 0 {
		o.MaxIdle = defaultMaxIdle
	}
	if o.MaxTotal <= 0 {
		o.MaxTotal = defaultMaxTotal
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
