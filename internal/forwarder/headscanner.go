package forwarder

import (
	"bytes"
	"strings"
	"sync"
)

// scannedBytes is the length of the start of a line that a headScanner reads.
const scannedBytes = 18 // of "transfer-encoding:"

// headScanner looks for a Transfer-Encoding in the head of a response of HTTP/1.0. That version has none, and net/http
// deletes the header and passes the sizes of the chunks on as a part of the body.
type headScanner struct {
	mutex   sync.Mutex
	line    []byte // start of the current line
	started bool   // the line is not the first one of a head
	interim bool   // another head follows this one
	old     bool   // the head is one of HTTP/1.0
	ended   bool   // the last head has ended
	coded   bool   // a head of HTTP/1.0 has a Transfer-Encoding
}

// reset prepares the scanner for the next response.
func (s *headScanner) reset() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.line = s.line[:0]
	s.started, s.interim, s.old, s.ended, s.coded = false, false, false, false, false
}

// add takes the next bytes of the connection.
func (s *headScanner) add(content []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for !s.ended && len(content) > 0 {
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
	switch {
	case !s.started:
		version, status, _ := strings.Cut(line, " ")
		s.started, s.old = true, version == "HTTP/1.0"
		s.interim = strings.HasPrefix(strings.TrimLeft(status, " "), "1")
	case line == "":
		s.started, s.ended = false, !s.interim
	case s.old && strings.EqualFold(line, "transfer-encoding:"):
		s.coded = true
	}
}

// foundCoding reports whether a head of HTTP/1.0 has a Transfer-Encoding.
func (s *headScanner) foundCoding() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.coded
}
