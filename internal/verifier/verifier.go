// Package verifier rejects HTTP responses that net/http accepts although they break the rules of HTTP.
package verifier

import (
	"fmt"
	"net/http"
	"strings"
)

// Check returns an error for a response whose head is malformed. Where its body ends is not known then.
func Check(response *http.Response) error {
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
