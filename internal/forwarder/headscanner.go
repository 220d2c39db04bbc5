package forwarder

import (
	"bytes"
	"errors"
	"strings"
	"sync"
)

const (
	// scannedBytes is the length of the start of a line that a headScanner reads.
	scannedBytes = 18 // of "transfer-encoding:"
	// upstreamHeadLines bounds the lines before the body of an upstream's response: in memory, a short header takes many
	// times its length.
	upstreamHeadLines = 256
	// hostHeadLines bounds those of a host node's response, which has headers of its own besides.
	hostHeadLines = upstreamHeadLines + 16
)

var (
	errCoding       = errors.New("malformed response: HTTP/1.0 with a Transfer-Encoding")
	errTooManyLines = errors.New("malformed response: too many lines before the body")
)

// headScanner reads the heads of a response on its connection, the interim ones included. It finds a Transfer-Encoding
// in HTTP/1.0, which net/http ignores and deletes, so that the sizes of the chunks end up in the body. It also bounds
// the number of lines, which net/http does not.
type headScanner struct {
	mutex    sync.Mutex
	line     []byte // start of the current line
	inFields bool   // the status line of the current head has been read
	interim  bool   // the current head is that of an interim response
	http10   bool   // the current head is of HTTP/1.0
	ended    bool   // the final head has ended; the body follows
	lines    int    // lines of all heads so far
	maxLines int
	failure  error // of the response
}

// reset prepares the scanner for the next response.
func (s *headScanner) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.line = s.line[:0]
	s.inFields, s.interim, s.http10, s.ended = false, false, false, false
	s.lines, s.failure = 0, nil
}

// add takes the next bytes of the connection.
func (s *headScanner) add(content []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for !s.ended && s.failure == nil && len(content) > 0 {
		line, rest, whole := bytes.Cut(content, []byte("\n"))
		s.line = append(s.line, line[:min(len(line), scannedBytes-len(s.line))]...)
		if whole {
			s.endLine()
		}
		content = rest
	}
}

// endLine takes the line that has just ended.
func (s *headScanner) endLine() {
	line := strings.TrimSuffix(string(s.line), "\r")
	s.line = s.line[:0]
	s.lines++
	switch {
	case s.lines > s.maxLines:
		s.failure = errTooManyLines
	case !s.inFields:
		version, status, _ := strings.Cut(line, " ")
		s.inFields, s.http10 = true, version == "HTTP/1.0"
		s.interim = strings.HasPrefix(strings.TrimLeft(status, " "), "1")
	case line == "":
		s.inFields, s.ended = false, !s.interim
	case s.http10 && strings.EqualFold(line, "transfer-encoding:"):
		s.failure = errCoding
	}
}

// check returns an error if a head is malformed.
func (s *headScanner) check() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failure
}
