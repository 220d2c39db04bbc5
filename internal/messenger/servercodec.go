package messenger

import (
	"bufio"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// frameTimeout bounds the receipt and the sending of one message, so that a slow or unresponsive peer does not block a
// goroutine.
const frameTimeout = 10 * timekeeper.Second

// serverCodec is the rpc.ServerCodec of one connection.
type serverCodec struct {
	conn        net.Conn
	reader      *bufio.Reader
	idleTimeout timekeeper.Millis
	mutex       sync.Mutex // guards writes
	frame       frame      // request whose header was read last
}

// ReadRequestHeader implements rpc.ServerCodec. A malformed message is answered with its error code; then the
// connection closes, because the start of the next message is unknown.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(c.idleTimeout.Duration()))
	if _, err := c.reader.Peek(1); err != nil {
		return err
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(frameTimeout.Duration()))
	f, err := readFrame(c.reader)
	if err != nil {
		if classifier.CodeOf(err) != classifier.CodeOK {
			_ = c.write(frame{Error: encodeError(err)})
		}
		return err
	}
	c.frame = f
	r.ServiceMethod, r.Seq = serviceMethod, f.Sequence
	return nil
}

// ReadRequestBody implements rpc.ServerCodec. It passes the encoded request to the dispatcher.
func (c *serverCodec) ReadRequestBody(target any) error {
	request, ok := target.(*[]byte)
	if !ok {
		return nil
	}
	content, err := encode(c.frame)
	if err != nil {
		return err
	}
	*request = content
	return nil
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	f := frame{Sequence: r.Seq, Error: r.Error}
	if reply, ok := body.(*[]byte); ok && r.Error == "" {
		f.Body = *reply
	}
	err := c.write(f)
	if classifier.CodeOf(err) != classifier.CodeOK { // the reply is too large: the caller gets this error instead
		err = c.write(frame{Sequence: r.Seq, Error: encodeError(err)})
	}
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

func (c *serverCodec) write(f frame) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(frameTimeout.Duration()))
	return writeFrame(c.conn, f)
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error {
	return c.conn.Close()
}
