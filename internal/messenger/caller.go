// Package messenger carries calls between nodes: net/rpc over HTTP CONNECT with length-bounded msgpack messages.
package messenger

import (
	"context"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Path is the path that a CONNECT request for the node protocol names.
const Path = "/rpc"

// MaxMessageBytes bounds one message, in either direction.
const MaxMessageBytes = 2 << 20

// Caller makes one call to the node at a peer address. Errors are *classifier.Error; those of the transport have a
// 3xx code and those of the remote method keep their own.
type Caller interface {
	Call(ctx context.Context, peer, method string, arguments, reply any, timeout timekeeper.Millis) error
}
