package forwarder

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/faker"
)

// Guards against a part of an answer without a length that a caller gets as the whole one: the upstream resets the
// connection while the request is still being written, and the write takes the error that the read should see. An
// answer whose end arrived before the reset is whole.
func TestAnswerWithoutLengthIsReset(t *testing.T) {
	const short, long = 10, 3 * maxBufferedBytes
	for _, c := range []struct {
		length     int
		closeFirst bool
		want       string
	}{
		{short, false, "not whole"},
		{long, false, "not whole"},
		{short, true, "whole"},
		{long, true, "whole"},
	} {
		t.Run(fmt.Sprintf("%d bytes, closed before %v", c.length, c.closeFirst), func(t *testing.T) {
			body := strings.Repeat("x", c.length)
			upstream, err := faker.NewCutServer("HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"+body, c.closeFirst)
			if err != nil {
				t.Fatal(err)
			}
			defer upstream.Close()
			host, peer := newOnceHost(t, "a", upstream.Address())
			host.transport.DialContext = observeConnections(upstream.Dial, upstreamHeadLines)
			entry := httptest.NewServer(newOnceEntry(t, peer))
			defer entry.Close()
			if diff := cmp.Diff(c.want, sendUpload(t, entry, body)); diff != "" {
				t.Errorf("the answer differs (-want +got):\n%s", diff)
			}
		})
	}
}

// sendUpload sends a request with a long body, and reports whether the answer is the upstream's whole one. Of a long
// one that broke off, the caller gets a part or a failure.
func sendUpload(t *testing.T, entry *httptest.Server, whole string) string {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodPost, entry.URL+"/unsafe/1",
		strings.NewReader(strings.Repeat("y", 4<<20)))
	request.Host = "wick.example"
	response, err := entry.Client().Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	part := response.StatusCode == http.StatusOK && strings.HasPrefix(whole, string(content))
	switch {
	case part && err == nil && string(content) == whole:
		return "whole"
	case part && err != nil && len(whole) > maxBufferedBytes, response.StatusCode == http.StatusBadGateway:
		return "not whole"
	}
	return fmt.Sprintf("status %d, %d bytes, error %v", response.StatusCode, len(content), err)
}
