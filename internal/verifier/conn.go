package verifier

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection of an HTTP client on which a reset is never taken for the end of a response. The kernel reports
// a reset once: when a write gets the error, reads end with io.EOF, as if the other end had closed the connection, and
// so would a body without a length.
type Conn struct {
	net.Conn
	writing sync.Mutex // held during a write
	failure error      // of the first write that failed; guarded by writing
}

// NewConn returns a Conn over another connection.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// DialFunc opens connections for an http.Transport.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Dial returns a function whose connections are Conns over those of dial; with nil, over TCP connections.
func Dial(dial DialFunc) DialFunc {
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// Write implements io.Writer.
func (c *Conn) Write(content []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(content)
	if err != nil && c.failure == nil {
		c.failure = err
	}
	return n, err
}

// Read implements io.Reader. At the end of the connection it ends the write in progress, and fails if a write learned
// of a reset.
func (c *Conn) Read(target []byte) (int, error) {
	n, err := c.Conn.Read(target)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	// A write that learned of the reset returns at once; any other could wait for long for the other end to read, and is
	// of no use any more: an HTTP client closes a connection whose responses have ended.
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	if lostEnd(c.failure) {
		return n, fmt.Errorf("the connection broke while the request was sent: %w", c.failure)
	}
	return n, err
}

// lostEnd reports whether a failed write shows that the other end did not send the end of the connection. A write fails
// with EPIPE once the other end has closed the connection, even if a reset follows.
func lostEnd(failure error) bool {
	return failure != nil && !errors.Is(failure, syscall.EPIPE) && !errors.Is(failure, os.ErrDeadlineExceeded)
}
