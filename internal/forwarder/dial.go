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

// onceBody is a request body that net/http cannot rewind. So net/http never retries a request on its own, and a dial
// error means that nothing was sent.
type onceBody struct {
	mutex  sync.Mutex
	source *buffer // nil for an empty body and after Close
	offset int
}

// newOnceBody returns a body that references the buffer until it is closed. A nil buffer makes an empty body.
func newOnceBody(content *buffer) *onceBody {
	if content != nil {
		content.extraReferences.Add(1)
	}
	return &onceBody{source: content}
}

// Read implements io.Reader.
func (o *onceBody) Read(target []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.source == nil || o.offset == len(o.source.bytes) {
		return 0, io.EOF
	}
	n := copy(target, o.source.bytes[o.offset:])
	o.offset += n
	return n, nil
}

// Close implements io.Closer.
func (o *onceBody) Close() error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	releaseBuffer(o.source)
	o.source = nil
	return nil
}

// isDialError reports whether err is a failed dial, so that no byte of the request left this node.
func isDialError(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial"
}

// exchangeFailure classifies the error of an exchange with a host node.
func exchangeFailure(ctx context.Context, c *call, err error) *classifier.Error {
	if isDialError(err) {
		return classifier.Refuse(classifier.CodeUpstreamUnreached, c.job.Service, "no connection to the host node: %v", err)
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return classifier.Unknown(classifier.CodeCanceled, c.job.Call, "the caller went away")
	}
	return classifier.Unknown(
		classifier.CodeOutcomeUnknown, c.job.Call, "no complete response from the host node: %v", err,
	)
}
