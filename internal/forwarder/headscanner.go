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
	// maxHeadLines bounds the lines before the body of an upstream's response. A header takes several times its length in
	// memory.
	maxHeadLines = 256
	// hostHeadLines are the lines that a host node may add to them.
	hostHeadLines = 16
)

var (
	errOldCoding = errors.New("malformed response: HTTP/1.0 with a Transfer-Encoding")
	errManyLines = errors.New("malformed response: too many headers")
)

// headScanner checks the heads of a response for what net/http accepts and does not show: a Transfer-Encoding of
// HTTP/1.0, which net/http deletes to pass the sizes of the chunks on as a part of the body, and any number of headers.
type headScanner struct {
	mutex    sync.Mutex
	line     []byte // start of the current line
	started  bool   // the line is not the first one of a head
	interim  bool   // another head follows this one
	old      bool   // the head is one of HTTP/1.0
	ended    bool   // the last head has ended
	lines    int    // of all heads
	maxLines int
	failure  error
}

// reset prepares the scanner for the next response.
func (s *headScanner) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.line = s.line[:0]
	s.started, s.interim, s.old, s.ended = false, false, false, false
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

func (s *headScanner) endLine() {
	line := strings.TrimSuffix(string(s.line), "\r")
	s.line = s.line[:0]
	s.lines++
	switch {
	case s.lines > s.maxLines:
		s.failure = errManyLines
	case !s.started:
		version, status, _ := strings.Cut(line, " ")
		s.started, s.old = true, version == "HTTP/1.0"
		s.interim = strings.HasPrefix(strings.TrimLeft(status, " "), "1")
	case line == "":
		s.started, s.ended = false, !s.interim
	case s.old && strings.EqualFold(line, "transfer-encoding:"):
		s.failure = errOldCoding
	}
}

// check returns an error if a head is malformed.
func (s *headScanner) check() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.failure
}
