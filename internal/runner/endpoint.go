package runner

import (
	"context"
	"net/http"

	"github.com/oklog/run"

	"github.com/jasmineproxy/jasmineproxy/internal/acceptor"
	"github.com/jasmineproxy/jasmineproxy/internal/forwarder"
	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// endpoint is a listening address of a node and its handler.
type endpoint struct {
	address string
	handler http.Handler
	timeout timekeeper.Millis // bound on the wait for responses in flight when the server stops
	abrupt  func() bool       // whether the server closes its connections without that wait; nil for no
	// ahead reports whether a request may start before the ones before it on its connection are answered; nil for
	// requests of other nodes and of operators.
	ahead  func(r *http.Request) bool
	bounds *acceptor.Bounds // of the connections of clients; nil for none
}

// openEndpoints listens on the addresses and adds their servers to the group. Memory is that of the process, in bytes.
func openEndpoints(ctx context.Context, group *run.Group, memory int64, endpoints ...endpoint) error {
	for _, e := range endpoints {
		opened, err := listen(ctx, e.address, e.handler)
		if err != nil {
			return err
		}
		opened.timeout = e.timeout
		if e.ahead != nil {
			opened.pipeline(e.ahead, e.bounds, memory)
		}
		group.Add(opened.serve, func(error) { opened.close(e.abrupt != nil && e.abrupt()) })
	}
	return nil
}

// addParts adds parts of a node to the group. When one part returns, all others are cancelled.
func addParts(ctx context.Context, cancel context.CancelFunc, group *run.Group, parts ...func(context.Context) error) {
	for _, part := range parts {
		group.Add(func() error { return part(ctx) }, func(error) { cancel() })
	}
}

// peerHandler serves other nodes: forwarded requests and RPC messages.
func peerHandler(host *forwarder.Host, rpc *messenger.Server) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/forward", host)
	mux.Handle("/", rpc)
	return mux
}

// always is the abrupt option of endpoints whose responses in flight need not be finished.
func always() bool { return true }
