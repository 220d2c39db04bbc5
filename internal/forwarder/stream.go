package forwarder

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/budgeter"
)

// streamedBody is a request body that the transport to the upstream reads, also while the node already responds.
type streamedBody struct {
	source   io.Reader
	unread   atomic.Int64 // bytes
	reserved *budgeter.Reservation
}

func newStreamedBody(source io.Reader, length int64) *streamedBody {
	s := &streamedBody{source: source}
	s.unread.Store(length)
	return s
}

// Read implements io.Reader. The transport reads once more after the last byte, which must not touch a body that the
// server closed.
func (s *streamedBody) Read(target []byte) (int, error) {
	unread := s.unread.Load()
	if unread == 0 {
		return 0, io.EOF
	}
	n, err := s.source.Read(target[:min(int64(len(target)), unread)])
	s.unread.Add(-int64(n))
	return n, err
}

// Close implements io.Closer. The server closes the body after the response.
func (s *streamedBody) Close() error {
	return nil
}

// endConnection announces the end of the entry node's connection in the response to a body that is not read to its end.
// net/http discards the rest after the response, and panics when it then reads another request from the connection.
func (s *streamedBody) endConnection(w http.ResponseWriter) {
	if s != nil && s.unread.Load() > 0 {
		announceClose(w)
	}
}

// release returns the memory of the body.
func (s *streamedBody) release() {
	if s != nil {
		s.reserved.Release()
	}
}
