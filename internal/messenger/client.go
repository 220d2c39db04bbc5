package messenger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/rpc"
	"os"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/verifier"
)

// maxHandshakeBytes bounds the head of the response to CONNECT, which http.ReadResponse does not.
const maxHandshakeBytes = 4 << 10

// Client makes calls to other nodes. Each connection carries one call at a time, so that a call without a response does
// not block other calls. It is safe for concurrent use.
type Client struct {
	options           Options
	pool              *pool
	reuseAfterFailure bool // keeps the connection after a failed call; only tests set it
}

// NewClient returns a client without open connections.
func NewClient(options Options) *Client {
	options.setDefaults()
	return &Client{options: options, pool: newPool(options.MaxIdlePerPeer, options.MaxIdleTotal, options.IdleTimeout)}
}

// Call implements Caller. A call that ends without a response closes its connection.
func (c *Client) Call(
	ctx context.Context, peer, method string, arguments, reply any, timeout timekeeper.Millis,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	conn, err := c.acquire(ctx, peer)
	if err != nil {
		return classify(ctx, peer, method, err)
	}
	done := make(chan *rpc.Call, 2)
	stop := context.AfterFunc(ctx, func() {
		if c.reuseAfterFailure {
			done <- &rpc.Call{Error: ctx.Err()}
			return
		}
		conn.abort()
	})
	conn.rpc.Go(method, arguments, reply, done)
	err = (<-done).Error
	var remote rpc.ServerError
	responded := err == nil || errors.As(err, &remote)
	if !stop() {
		responded = false
		if err == nil {
			return nil // the response arrived before the deadline closed the connection
		}
	}
	if responded && !conn.codec.broken.Load() || c.reuseAfterFailure {
		c.pool.put(peer, conn)
	} else {
		conn.close()
	}
	if !responded && !c.reuseAfterFailure {
		c.pool.drop(peer) // whatever silenced this connection may have silenced them, too
	}
	return classify(ctx, peer, method, err)
}

// Close closes all idle connections. A later call opens a new connection, which closes after the call.
func (c *Client) Close() {
	c.pool.close()
}

// Traffic returns the byte counters of the client's connections.
func (c *Client) Traffic() *Traffic {
	return c.options.Traffic
}

// acquire returns an idle connection to the peer, or opens a new one.
func (c *Client) acquire(ctx context.Context, peer string) (*peerConn, error) {
	if found := c.pool.take(peer); found != nil {
		return found, nil
	}
	conn, err := c.options.Dial(ctx, peer)
	if err != nil {
		return nil, err
	}
	counted := &countingConn{Conn: conn, traffic: c.options.Traffic}
	reader, err := c.handshake(ctx, counted, peer)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	codec := &clientCodec{conn: counted, reader: reader}
	return &peerConn{conn: counted, codec: codec, rpc: rpc.NewClientWithCodec(codec)}, nil
}

// handshake sends the CONNECT request and reads its response.
func (c *Client) handshake(ctx context.Context, conn *countingConn, peer string) (*bufio.Reader, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	request := "CONNECT " + Path + " HTTP/1.1\r\nHost: " + peer + "\r\n" + zoneHeader + ": " + c.options.Zone + "\r\n\r\n"
	if _, err := conn.Write([]byte(request)); err != nil {
		return nil, err
	}
	limited := &io.LimitedReader{R: conn, N: maxHandshakeBytes}
	reader := bufio.NewReader(limited)
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, err
	}
	_ = response.Body.Close()
	if err = verifier.Check(response); err != nil {
		return nil, classifier.Wrap(classifier.CodePeerInvalid, peer, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, classifier.New(classifier.CodePeerInvalid, peer, "CONNECT was answered with %s", response.Status)
	}
	limited.N = math.MaxInt64 // messages have a bound of their own
	conn.setRemote(response.Header.Get(zoneHeader) != c.options.Zone)
	return reader, conn.SetDeadline(time.Time{})
}

// classify converts err to a *classifier.Error. An error of the remote method keeps its code; a transport error gets a
// 3xx code.
func classify(ctx context.Context, peer, method string, err error) error {
	var remote rpc.ServerError
	var failure *classifier.Error
	var network net.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return decodeError(string(remote))
	case errors.As(err, &failure):
		return failure
	case ctx.Err() != nil, errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &network) && network.Timeout():
		return &classifier.Error{
			Code: classifier.CodePeerTimeout, Subject: peer, Field: method, Reason: "no answer by the deadline", Cause: err,
		}
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, rpc.ErrShutdown):
		return &classifier.Error{
			Code: classifier.CodePeerClosed, Subject: peer, Field: method, Reason: "connection closed", Cause: err,
		}
	}
	return &classifier.Error{
		Code: classifier.CodePeerClosed, Subject: peer, Field: method, Reason: err.Error(), Cause: err,
	}
}
