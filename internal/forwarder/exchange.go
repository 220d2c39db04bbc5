package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/verifier"
)

// usedConnection is the connection of one HTTP exchange.
type usedConnection struct {
	conn    net.Conn // nil if the exchange got none
	first   bool     // no exchange used the connection before
	written int64    // bytes written to the connection before the exchange
	unsent  bool     // the exchange failed before a byte of the request left this node
	// responded is set with the first byte of a response, which may be that of an earlier request and arrive while the
	// request is still to be written.
	responded atomic.Bool
}

// traceConnection returns a context for a request, and the connection, which is known once the request has one.
func traceConnection(ctx context.Context) (context.Context, *usedConnection) {
	u := &usedConnection{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			u.conn, u.first = info.Conn, !info.Reused
			u.written = writtenTo(info.Conn)
			if observed, ok := info.Conn.(*observedConn); ok {
				observed.scanner.reset()
			}
		},
		GotFirstResponseByte: func() { u.responded.Store(true) },
	}), u
}

// writtenTo returns the number of bytes written to an observedConn.
func writtenTo(conn net.Conn) int64 {
	observed, ok := conn.(*observedConn)
	if !ok {
		return 0
	}
	return observed.written.Load()
}

// checkResponse returns an error for a malformed response.
func (u *usedConnection) checkResponse(response *http.Response) error {
	if err := verifier.Check(response); err != nil {
		return err
	}
	if observed, ok := u.conn.(*observedConn); ok {
		return observed.scanner.check()
	}
	return nil
}

// abandon closes the connection, whose next response may still belong to this exchange.
func (u *usedConnection) abandon() {
	if u.conn != nil {
		_ = u.conn.Close()
	}
}

// closedBefore reports, after a failed exchange, whether its kept connection was closed before: no byte was written and
// none can be, since a transport that fails without a response has stopped writing.
func (u *usedConnection) closedBefore() bool {
	return u.conn != nil && !u.first && !u.responded.Load() && writtenTo(u.conn) == u.written
}

// roundTrip sends the request that build returns over a transport. When a kept connection turns out to be closed, the
// request is built and sent again over another one if again is set. A malformed response is an error, after which the
// connection is closed.
func roundTrip(
	ctx context.Context, transport http.RoundTripper, again bool, build func(ctx context.Context) *http.Request,
) (*http.Response, *usedConnection, error) {
	for {
		traced, used := traceConnection(ctx)
		response, err := transport.RoundTrip(build(traced))
		if err == nil {
			if err = used.checkResponse(response); err == nil {
				return response, used, nil
			}
			_ = response.Body.Close()
			used.abandon()
			return nil, used, err
		}
		closed := used.closedBefore()
		used.unsent = closed || used.conn == nil
		if !closed || !again || ctx.Err() != nil {
			return nil, used, err
		}
	}
}
