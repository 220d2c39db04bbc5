package verifier

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// Guards against a name of a header that is passed on although it is none, and against a refusal of a proper one.
func TestNamesOfHeaders(t *testing.T) {
	const others = "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
	for c := range 256 {
		name := "X" + string([]byte{byte(c)}) + "Odd"
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(
			"HTTP/1.1 200 OK\r\n"+name+": v\r\nContent-Length: 0\r\n\r\n")), nil)
		if err == nil {
			err = Check(response)
			_ = response.Body.Close()
		}
		if proper := c == ':' || strings.IndexByte(others, byte(c)) >= 0; proper != (err == nil) {
			t.Errorf("%q: error %v", name, err)
		}
	}
	if Check(&http.Response{ProtoMajor: 1, StatusCode: http.StatusOK, Header: http.Header{"": {"v"}}}) == nil {
		t.Error("an empty name is accepted")
	}
}

// Guards against a response of a protocol whose messages net/http reads as those of HTTP/1.1.
func TestVersions(t *testing.T) {
	for version, want := range map[string]bool{"0.9": false, "1.0": true, "1.1": true, "1.9": true, "2.0": false} {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(
			"HTTP/"+version+" 200 OK\r\nContent-Length: 0\r\n\r\n")), nil)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if err = Check(response); (err == nil) != want {
			t.Errorf("HTTP/%s: error %v", version, err)
		}
	}
}

// Guards against a status that no client may get.
func TestStatuses(t *testing.T) {
	for status := -1; status <= 1000; status++ {
		if err := Check(&http.Response{ProtoMajor: 1, StatusCode: status}); (err == nil) != (status >= 200 && status < 600) {
			t.Errorf("status %d: error %v", status, err)
		}
	}
}
