package faker

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
)

// Raw returns a handler that responds with the bytes of a text and closes the connection. They need not be HTTP.
func Raw(text string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, text)
	})
}

// Second returns a handler that responds to the first two requests of a connection with the bytes of a text each, and
// then closes the connection.
func Second(first, second string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, first)
		if next, err := http.ReadRequest(buffered.Reader); err == nil {
			_, _ = io.Copy(io.Discard, next.Body)
			_, _ = io.WriteString(conn, second)
		}
	})
}

// Upload returns the last part of the text of a request: a header line that states the length of the body or that it is
// chunked, the empty line, and a body of a size.
func Upload(size int, chunked bool) string {
	body := strings.Repeat("y", size)
	if chunked {
		return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body)
	}
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", size, body)
}

// EndlessHead returns a handler that sends a head without end until the connection closes, or until it has sent so many
// bytes, and counts them.
func EndlessHead(limit int64, sent *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		lines := strings.Repeat("X-More: x\r\n", 1000)
		_, err = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		for err == nil && sent.Load() < limit {
			var n int
			n, err = io.WriteString(conn, lines)
			sent.Add(int64(n))
		}
	})
}

// MalformedHeads returns starts of heads, by their names, that a client must not take for the head of a response.
func MalformedHeads() map[string]string {
	return map[string]string{
		"status 000":               "HTTP/1.1 000 Odd\r\n",
		"status 600":               "HTTP/1.1 600 Odd\r\n",
		"a blank in a name":        "HTTP/1.1 200 OK\r\nX Odd: odd\r\n",
		"a blank after a name":     "HTTP/1.1 200 OK\r\nX-Odd : odd\r\n",
		"a control byte in a name": "HTTP/1.1 200 OK\r\nX\x01Odd: odd\r\n",
	}
}
