package pipeliner

import (
	"bufio"
	"bytes"
	"net/http"
	"slices"
	"strings"
)

// EndOfHead returns the length of the head of a request with the empty line after it, or -1 if it is not complete.
func EndOfHead(head []byte) int {
	for i := 0; ; {
		end := bytes.IndexByte(head[i:], '\n')
		if end < 0 {
			return -1
		}
		i += end + 1
		switch rest := head[i:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return i + 1
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return i + 2
		}
	}
}

// statesBody reports whether a head may announce a body or a change of the protocol.
func statesBody(head []byte) bool {
	for line := range bytes.Lines(head) {
		name, _, ok := bytes.Cut(line, []byte(":"))
		if ok && slices.ContainsFunc(bodyHeaders, func(h string) bool { return strings.EqualFold(string(name), h) }) {
			return true
		}
		if ok && bytes.ContainsAny(name, " \t") {
			return true // not a header name; net/http decides
		}
	}
	return false
}

var bodyHeaders = []string{"Content-Length", "Transfer-Encoding", "Expect", "Upgrade", "Trailer", "Connection"}

// parseSimple parses a request without a body at the beginning of bytes, and returns its length. It returns nil for one
// that is not complete or that has anything which could be read in two ways; net/http reads such a request in its turn.
func parseSimple(content []byte) (*http.Request, int) {
	size := EndOfHead(content)
	if size < 0 || !isSimple(content[:size]) {
		return nil, 0
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(content[:size])))
	if err != nil || request.Host == "" {
		return nil, 0
	}
	return request, size
}

// isSimple reports whether a head consists of a request line of GET or HEAD and plain header lines, one of which is the
// host.
func isSimple(head []byte) bool {
	hosts := 0
	for i, line := range bytes.Split(bytes.TrimSuffix(head, []byte("\r\n\r\n")), []byte("\r\n")) {
		if bytes.ContainsFunc(line, func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }) {
			return false
		}
		if i == 0 {
			if !isSimpleLine(string(line)) {
				return false
			}
			continue
		}
		name, _, ok := bytes.Cut(line, []byte(":"))
		if !ok || !isToken(name) {
			return false
		}
		if slices.ContainsFunc(bodyHeaders, func(h string) bool { return strings.EqualFold(string(name), h) }) {
			return false
		}
		if strings.EqualFold(string(name), "Host") {
			hosts++
		}
	}
	return hosts == 1 && bytes.HasSuffix(head, []byte("\r\n\r\n"))
}

// isSimpleLine reports whether a request line is one of GET or HEAD for a path.
func isSimpleLine(line string) bool {
	words := strings.Split(line, " ")
	return len(words) == 3 && (words[0] == http.MethodGet || words[0] == http.MethodHead) &&
		strings.HasPrefix(words[1], "/") && words[2] == "HTTP/1.1"
}

// isToken reports whether a header name consists of letters, digits and hyphens.
func isToken(name []byte) bool {
	return len(name) > 0 && !bytes.ContainsFunc(name, func(r rune) bool {
		return (r < 'a' || r > 'z') && (r < 'A' || r > 'Z') && (r < '0' || r > '9') && r != '-'
	})
}
