// Package verifier rejects HTTP responses that net/http accepts although they break the rules of HTTP or are cut.
package verifier

import (
	"fmt"
	"net/http"
	"strings"
)

// MaxHead bounds the head of a response, in bytes. That of net/http is 10 MiB.
const MaxHead = 64 << 10

// maxStatus is the highest status that RFC 9110, 15, calls valid.
const maxStatus = 599

// Check returns an error for a response of another version than HTTP/1, with a status out of 200 to 599, or with a
// malformed name of a header. After such a name it is not known where the body ends.
func Check(response *http.Response) error {
	if response.ProtoMajor != 1 {
		return fmt.Errorf("malformed response: version %.20q", response.Proto)
	}
	if response.StatusCode < http.StatusOK || response.StatusCode > maxStatus {
		return fmt.Errorf("malformed response: status %03d", response.StatusCode)
	}
	for name := range response.Header {
		if !isToken(name) {
			return fmt.Errorf("malformed response: %.80q is not the name of a header", name)
		}
	}
	return nil
}

// isToken reports whether text is a token of RFC 9110, 5.6.2. net/http accepts blanks in the names of headers.
func isToken(text string) bool {
	for i := range len(text) {
		c := text[i]
		letterOrDigit := 'a' <= c|0x20 && c|0x20 <= 'z' || '0' <= c && c <= '9'
		if !letterOrDigit && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return text != ""
}
