// Package messenger implements remote calls between nodes: net/rpc over HTTP CONNECT, with msgpack messages of bounded
// size.
package messenger

import (
	"context"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Path is the path of the CONNECT request that opens a connection of the node protocol.
const Path = "/rpc"

// MaxMessageBytes is the maximum size of one encoded message, in either direction.
const MaxMessageBytes = 2 << 20

// Caller calls methods of the node at a peer address. Call returns a *classifier.Error: a transport error has a 3xx
// code, and an error of the remote method keeps its own code.
type Caller interface {
	Call(ctx context.Context, peer, method string, arguments, reply any, timeout timekeeper.Millis) error
}
