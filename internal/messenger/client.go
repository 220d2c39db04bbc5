package messenger

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"os"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Client makes calls to other nodes. Each connection carries one call at a time, so that a call that gets no answer
// holds up no other. It is safe for concurrent use.
type Client struct {
	options Options
	pool    *pool
	reuse   bool // keeps a connection after a call without an answer; only tests set it
}

// NewClient returns a client without connections.
func NewClient(options Options) *Client {
	options.fill()
	return &Client{options: options, pool: newPool(options.MaxIdle, options.MaxTotal, options.Idle)}
}

// Call implements Caller. A call that ends without an answer closes its connection.
func (c *Client) Call(
	ctx context.Context, peer, method string, arguments, reply any, timeout timekeeper.Millis,
) error {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	link, err := c.link(ctx, peer)
	if err != nil {
		return classify(ctx, peer, method, err)
	}
	done := make(chan *rpc.Call, 2)
	stop := context.AfterFunc(ctx, func() {
		if c.reuse {
			done <- &rpc.Call{Error: ctx.Err()}
			return
		}
		link.abort()
	})
	link.rpc.Go(method, arguments, reply, done)
	err = (<-done).Error
	var remote rpc.ServerError
	answered := err == nil || errors.As(err, &remote)
	if !stop() {
		answered = false
		if err == nil {
			return nil // the answer arrived whole before the deadline closed the connection
		}
	}
	if answered && !link.codec.broken.Load() || c.reuse {
		c.pool.put(peer, link)
	} else {
		link.close()
	}
	return classify(ctx, peer, method, err)
}

// Close closes all unused connections; later calls open new ones that close after their call.
func (c *Client) Close() {
	c.pool.close()
}

// Traffic returns the byte counters.
func (c *Client) Traffic() *Traffic {
	return c.options.Traffic
}

func (c *Client) link(ctx context.Context, peer string) (*link, error) {
	if found := c.pool.take(peer); found != nil {
		return found, nil
	}
	conn, err := c.options.Dial(ctx, peer)
	if err != nil {
		return nil, err
	}
	counted := &countedConn{Conn: conn, traffic: c.options.Traffic}
	reader, err := c.connect(ctx, counted, peer)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	codec := &clientCodec{conn: counted, reader: reader}
	return &link{conn: counted, codec: codec, rpc: rpc.NewClientWithCodec(codec)}, nil
}

// connect sends the CONNECT request and reads its response.
func (c *Client) connect(ctx context.Context, conn *countedConn, peer string) (*bufio.Reader, error) {
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	request := "CONNECT " + Path + " HTTP/1.1\r\nHost: " + peer + "\r\n" + zoneHeader + ": " + c.options.Zone + "\r\n\r\n"
	if _, err := conn.Write([]byte(request)); err != nil {
		return nil, err
	}
	reader := bufio.NewReader(conn)
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
	if err != nil {
		return nil, err
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, classifier.New(classifier.CodePeerInvalid, peer, "CONNECT was answered with %s", response.Status)
	}
	conn.locate(response.Header.Get(zoneHeader) != c.options.Zone)
	return reader, conn.SetDeadline(time.Time{})
}

// classify gives an error its code: the remote method's own one, or a 3xx code of the transport.
func classify(ctx context.Context, peer, method string, err error) error {
	var remote rpc.ServerError
	var failure *classifier.Error
	var network net.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &remote):
		return unpackError(string(remote))
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
