package forwarder

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/verifier"
)

// dialer bounds the wait for a connection: data centres are a few ms apart and a new connection takes about 1 ms.
var dialer = net.Dialer{Timeout: 500 * time.Millisecond, KeepAlive: 5 * time.Second}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// observeConnections returns a dial function whose connections are observedConns. maxHeadLines bounds the lines before
// the body of a response.
func observeConnections(dial dialFunc, maxHeadLines int) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &observedConn{Conn: verifier.NewConn(conn), scanner: headScanner{maxLines: maxHeadLines}}, nil
	}
}

// observedConn counts the bytes that are written to a connection, and scans the heads of the responses.
type observedConn struct {
	net.Conn
	written atomic.Int64
	scanner headScanner
}

// Write implements io.Writer.
func (c *observedConn) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	c.written.Add(int64(n))
	return n, err
}

// Read implements io.Reader. It fails once a head is malformed, so that the transport reads no more of it.
func (c *observedConn) Read(target []byte) (int, error) {
	if err := c.scanner.check(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(target)
	c.scanner.add(target[:n])
	return n, err
}
