package forwarder

import (
	"io"
	"net/http"
	"strings"
	"sync"
)

// lowerContentLength is the Content-Length header of a request without content. net/http drops the canonical spelling
// from the headers of a request, and does not write one itself for a body of unknown length.
const lowerContentLength = "content-length"

// setBody sets the body of a request, which must be none that net/http can rewind: a transport then sends the request
// at most once. net/http repeats requests without a body on a kept connection that breaks, by their method and by
// headers such as Idempotency-Key, while only the configured call tells whether a request may run again.
func setBody(request *http.Request, body io.ReadCloser, length int64) {
	request.Body, request.ContentLength = body, length
}

// setNoContent sets an empty body as setBody does, and states its length if the request was received with a length.
// net/http sends a body of unknown length in chunks unless the encoding is stated, and writes the head and the body
// apart, with a buffer of 32 KiB, unless it knows the type of the reader.
func setNoContent(request *http.Request, stated bool) {
	setBody(request, io.NopCloser(strings.NewReader("")), 0)
	request.TransferEncoding = []string{"identity"}
	if stated {
		request.Header[lowerContentLength] = contentLength(0)
	}
}

// onceBody is a request body that net/http cannot rewind.
type onceBody struct {
	mutex  sync.Mutex
	source *buffer // nil after Close
	offset int64
}

// newOnceBody returns a body that references the buffer until it is closed.
func newOnceBody(content *buffer) *onceBody {
	content.extraReferences.Add(1)
	return &onceBody{source: content}
}

// Read implements io.Reader.
func (o *onceBody) Read(target []byte) (int, error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.source == nil || o.offset == o.source.size() {
		return 0, io.EOF
	}
	n := o.source.readAt(target, o.offset)
	o.offset += int64(n)
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
