package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// dialer bounds the wait for a connection: data centres are a few ms apart and a new connection takes about 1 ms.
var dialer = net.Dialer{Timeout: 500 * time.Millisecond, KeepAlive: 5 * time.Second}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// once is a request body that net/http cannot rewind. So net/http never sends a request a second time on its own, and
// a dial error means that nothing was sent.
type once struct {
	mutex sync.Mutex
	from  *buffer // nil for an empty body and after Close
	sent  int
}

// newOnce returns a body that holds the buffer until it is closed. A nil buffer makes an empty body.
func newOnce(content *buffer) *once {
	if content != nil {
		content.holders.Add(1)
	}
	return &once{from: content}
}

// Read implements io.Reader.
func (o *once) Read(target []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.from == nil || o.sent == len(o.from.bytes) {
		return 0, io.EOF
	}
	n := copy(target, o.from.bytes[o.sent:])
	o.sent += n
	return n, nil
}

// Close implements io.Closer.
func (o *once) Close() error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	releaseBuffer(o.from)
	o.from = nil
	return nil
}

// unsent reports whether err means that no byte of the request left this node.
func unsent(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

// broken classifies the error of an exchange with a host node.
func broken(ctx context.Context, c *call, err error) *classifier.Error {
	if unsent(err) {
		return classifier.Refuse(classifier.CodeUpstreamUnreached, c.job.Service, "no connection to the host node: %v", err)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return classifier.Unknown(classifier.CodeCanceled, c.job.Call, "the caller went away")
	}
	return classifier.Unknown(classifier.CodeOutcomeUnknown, c.job.Call, "no whole answer from the host node: %v", err)
}
