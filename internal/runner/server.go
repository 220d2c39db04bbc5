package runner

import (
	"context"
	"errors"
	"net"
	"net/http"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Limits of the node's HTTP servers. idleTimeout is longer than the idle time of the node's own HTTP clients, so that a
// client never sends a request on a connection that the server is about to close.
const (
	readHeaderTimeout = 5 * timekeeper.Second
	idleTimeout       = 2 * timekeeper.Minute
	maxHeaderBytes    = 64 << 10
	stopTimeout       = 2 * timekeeper.Second
)

// server is an HTTP server on one listening address of a node.
type server struct {
	http     *http.Server
	listener net.Listener
	timeout  timekeeper.Millis // bound on the wait for responses in flight when the server stops
}

// listen opens an address. The server answers requests only after serve is called.
func listen(ctx context.Context, address string, handler http.Handler) (*server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &server{
		listener: listener,
		timeout:  stopTimeout,
		http: &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: readHeaderTimeout.Duration(),
			IdleTimeout:       idleTimeout.Duration(),
			MaxHeaderBytes:    maxHeaderBytes,
			// Otherwise net/http answers OPTIONS * itself, though no route matches it.
			DisableGeneralOptionsHandler: true,
		},
	}, nil
}

// serve answers requests until close is called.
func (s *server) serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// close stops listening and closes all connections. Unless abrupt, it first waits for responses in flight.
func (s *server) close(abrupt bool) {
	if abrupt {
		_ = s.http.Close()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), s.timeout.Duration())
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}
