package runner

import (
	"context"
	"net/http"

	"github.com/oklog/run"

	"github.com/jasmineproxy/jasmineproxy/internal/forwarder"
	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// endpoint is an address of a node and what it serves there.
type endpoint struct {
	address string
	handler http.Handler
	stop    timekeeper.Millis // bound on the wait for answers that are being written
	abrupt  func() bool       // whether connections are cut at the end; nil for no
}

// open opens the addresses and adds their servers to the group.
func open(ctx context.Context, group *run.Group, endpoints ...endpoint) error {
	for _, one := range endpoints {
		opened, err := listen(ctx, one.address, one.handler)
		if err != nil {
			return err
		}
		opened.stop = one.stop
		group.Add(opened.serve, func(error) { opened.close(one.abrupt != nil && one.abrupt()) })
	}
	return nil
}

// add adds parts of a node to the group. Each of them ends all others.
func add(ctx context.Context, end context.CancelFunc, group *run.Group, parts ...func(context.Context) error) {
	for _, part := range parts {
		group.Add(func() error { return part(ctx) }, func(error) { end() })
	}
}

// peerHandler serves other nodes: requests that they forward, and their messages.
func peerHandler(host *forwarder.Host, rpc *messenger.Server) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/forward", host)
	mux.Handle("/", rpc)
	return mux
}

// always is for endpoints whose connections carry nothing of worth at the end.
func always() bool { return true }
