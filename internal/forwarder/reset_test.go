package forwarder

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/faker"
)

// resetCase is an upload whose answer, without a length, is followed by a reset.
type resetCase struct {
	length     int  // of the answer
	closeFirst bool // the upstream closes the connection for sending before
	caller     int  // minor version of the caller
	upstream   int  // minor version of the upstream
	chunks     bool // the caller sends the upload in chunks
	kept       bool // the connections carried a request before
	want       string
}

func resetCases() []resetCase {
	const short, long = 10, 3 * maxBufferedBytes
	all := make([]resetCase, 0, 32)
	for _, length := range []int{short, long} {
		for _, upstream := range []int{0, 1} {
			for _, caller := range []struct {
				version      int
				chunks, kept bool
			}{{1, false, false}, {1, false, true}, {1, true, true}, {0, false, false}} {
				c := resetCase{
					length: length, caller: caller.version, upstream: upstream, chunks: caller.chunks, kept: caller.kept,
					want: "not whole",
				}
				all = append(all, c)
				c.closeFirst, c.want = true, "whole"
				all = append(all, c)
			}
		}
	}
	return all
}

// Guards against a part of an answer without a length that a caller gets as the whole one: the upstream resets the
// connection while the request is still being written, and the write takes the error that the read should see. An
// answer whose end arrived before the reset is whole.
func TestAnswerWithoutLengthIsReset(t *testing.T) {
	for _, c := range resetCases() {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			t.Parallel()
			body := strings.Repeat("x", c.length)
			options := faker.CutOptions{
				Answer: fmt.Sprintf("HTTP/1.%d 200 OK\r\nX-A: b\r\n\r\n%s", c.upstream, body), CloseFirst: c.closeFirst,
			}
			if c.kept {
				options.First = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
			}
			upstream, err := faker.NewCutServer(options)
			if err != nil {
				t.Fatal(err)
			}
			defer upstream.Close()
			host, peer := newOnceHost(t, "a", upstream.Address())
			host.transport.DialContext = observeConnections(upstream.Dial, upstreamHeadLines)
			entry := httptest.NewServer(newOnceEntry(t, peer))
			defer entry.Close()
			if diff := cmp.Diff(c.want, sendUpload(t, entry.Listener.Addr().String(), &c, body)); diff != "" {
				t.Errorf("the answer differs (-want +got):\n%s", diff)
			}
		})
	}
}

// sendUpload sends a request with a long body on a connection that it may have used before, and reports whether the
// answer is the upstream's whole one. Of a long one that broke off, the caller gets a part or a failure.
func sendUpload(t *testing.T, entry string, c *resetCase, whole string) string {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", entry)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	reader := bufio.NewReader(conn)
	if c.kept {
		if status, content, err := upload(conn, reader, c, 5); status != http.StatusOK || content != "first" || err != nil {
			return fmt.Sprintf("first answer: status %d, %q, error %v", status, content, err)
		}
	}
	status, content, err := upload(conn, reader, c, 4<<20)
	part := status == http.StatusOK && strings.HasPrefix(whole, content)
	switch {
	case part && err == nil && content == whole:
		return "whole"
	case part && err != nil && len(whole) > maxBufferedBytes, status == http.StatusBadGateway && err == nil:
		return "not whole"
	}
	return fmt.Sprintf("status %d, %d bytes, error %v", status, len(content), err)
}

// upload sends a request with a body of a size, and reads the response.
func upload(conn net.Conn, reader *bufio.Reader, c *resetCase, size int) (status int, content string, err error) {
	_, err = fmt.Fprintf(conn, "POST /unsafe/1 HTTP/1.%d\r\nHost: wick.example\r\n%s", c.caller,
		faker.Upload(size, c.chunks))
	if err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return response.StatusCode, string(text), err
}
