package messenger

import (
	"bufio"
	"net"
	"net/rpc"
	"sync/atomic"
)

// clientCodec is the rpc.ClientCodec of one connection.
type clientCodec struct {
	conn   net.Conn
	reader *bufio.Reader
	frame  frame       // response whose header was read last
	broken atomic.Bool // reading or writing failed; the connection must not be used again
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	content, err := encode(body)
	if err != nil {
		return err
	}
	err = writeFrame(c.conn, frame{Sequence: r.Seq, Method: r.ServiceMethod, Body: content})
	if err != nil {
		c.broken.Store(true)
	}
	return err
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error {
	f, err := readFrame(c.reader)
	if err != nil {
		c.broken.Store(true)
		return err
	}
	c.frame = f
	r.Seq, r.Error = f.Sequence, f.Error
	return nil
}

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(target any) error {
	if target == nil {
		return nil
	}
	err := decode(c.frame.Body, target)
	if err != nil {
		c.broken.Store(true)
	}
	return err
}

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error {
	c.broken.Store(true)
	return c.conn.Close()
}
