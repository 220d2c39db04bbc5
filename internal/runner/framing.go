package runner

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/acceptor"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/pipeliner"
)

// net/http takes a request with a length and chunks by its chunks, hides the length and keeps the connection, so that
// bytes after the body run as a request of their own. It takes a request of HTTP/1.0 in chunks for one without a body.
// RFC 9112, 6.1, asks a server to reject a request of the first kind, or to close the connection after it, and to treat
// the framing of the second kind as faulty.

const (
	// maxAhead bounds the requests of one connection that run before the response to the one before them. Further ones
	// wait for their turn.
	maxAhead = 16
	// aheadPercent is the percentage of the memory for the requests of all connections that run ahead, of which each takes
	// aheadBytes; minAheadInAll is the least number.
	aheadPercent  = 5
	aheadBytes    = 64 << 10
	minAheadInAll = 64
)

// pipeline makes a server run requests side by side that a client sends ahead on one connection, where allow permits
// it, and keeps the connections within bounds.
func (s *server) pipeline(allow func(r *http.Request) bool, bounds *acceptor.Bounds, memory int64) {
	p := &pipeliner.Server{
		Handler: s.http.Handler, Allow: allow, MaxAhead: maxAhead, MaxHead: maxHeaderBytes, Bounds: bounds,
		MaxTotal: max(int(memory*aheadPercent/100/aheadBytes), minAheadInAll),
	}
	s.listener = p.Listen(s.listener)
	p.Attach(s.http)
}

// headOf returns the head of a request. It is unknown if net/http had read it before the response to the request before
// it.
func headOf(r *http.Request) (head []byte, known bool) {
	conn := pipeliner.ConnOf(r)
	if conn == nil {
		return nil, false
	}
	recorded := conn.Head()
	end := pipeliner.EndOfHead(recorded)
	if end < 0 || !bytes.HasPrefix(recorded, []byte(r.Method+" "+r.RequestURI+" ")) {
		return nil, false
	}
	return recorded[:end], true
}

// states reports whether a head has a header of a name.
func states(head []byte, name string) bool {
	for line := range bytes.Lines(head) {
		if found, _, ok := bytes.Cut(line, []byte(":")); ok && strings.EqualFold(string(found), name) {
			return true
		}
	}
	return false
}

// checkFraming implements forwarder.Options.CheckFraming.
func checkFraming(r *http.Request) (refusal *classifier.Error, known bool) {
	const length, coding = "Content-Length", "Transfer-Encoding"
	chunked, http10 := len(r.TransferEncoding) > 0, !r.ProtoAtLeast(1, 1)
	if !chunked && !http10 {
		return nil, true
	}
	head, known := headOf(r)
	switch {
	case !known && http10 && r.Method != http.MethodGet && r.Method != http.MethodHead:
		return classifier.Refuse(classifier.CodeBadRequest, coding,
			"HTTP/1.0 has no transfer codings, and a request sent ahead may have one"), true
	case !known:
		return nil, false
	case http10 && states(head, coding):
		return classifier.Refuse(classifier.CodeBadRequest, coding, "HTTP/1.0 has no transfer codings"), true
	case chunked && states(head, length):
		return classifier.Refuse(classifier.CodeBadRequest, length, "the request has a length and chunks"), true
	}
	return nil, true
}
