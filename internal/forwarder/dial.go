package forwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// dialer bounds the wait for a connection: data centres are a few ms apart and a new connection takes about 1 ms.
var dialer = net.Dialer{Timeout: 500 * time.Millisecond, KeepAlive: 5 * time.Second}

type dialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// once is a request body that net/http cannot rewind. So net/http never sends a request a second time on its own, and
// a dial error means that nothing was sent.
type once struct {
	rest []byte
}

func newOnce(content []byte) *once {
	return &once{rest: content}
}

// Read implements io.Reader.
func (o *once) Read(target []byte) (int, error) {
	if len(o.rest) == 0 {
		return 0, io.EOF
	}
	n := copy(target, o.rest)
	o.rest = o.rest[n:]
	return n, nil
}

// Close implements io.Closer.
func (o *once) Close() error {
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
