package administrator

import (
	"bytes"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"regexp"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// tokenFormat is the version of the stored token format.
const tokenFormat = 1

// maxTokenBytes bounds a bearer token in a request, before it is hashed.
const maxTokenBytes = 512

var (
	digestPattern     = regexp.MustCompile(`^[0-9a-f]{64}$`)
	holderNamePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)
)

// Token describes a bearer token. The platform stores it under the token's digest and never sees the token itself.
type Token struct {
	Format  int               `json:"format"`
	Name    string            `json:"name"`              // name of the token holder
	Account string            `json:"account,omitempty"` // client account; empty for an operator
	Author  string            `json:"author"`            // principal that created the token
	Created timekeeper.Millis `json:"created"`
}

// Digest returns the SHA-256 digest of a token in lower-case hexadecimal.
func Digest(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func (t *Token) principal() Principal {
	return Principal{Name: t.Name, Account: t.Account, Operator: t.Account == ""}
}

// validate returns the first error in the fields of the token.
func (t *Token) validate() error {
	switch {
	case !holderNamePattern.MatchString(t.Name):
		return badRequest("name", "the value must have lower-case letters, digits, dots and hyphens only, at most 63")
	case t.Account != "" && !compiler.IsSourceName(compiler.AccountPrefix+t.Account):
		return badRequest("account", "the value is not the name of a client account")
	}
	return nil
}

// decodeToken decodes a stored token. It refuses an unreadable token, because an empty account would grant operator
// rights.
func decodeToken(content []byte) (Token, error) {
	var token Token
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&token); err != nil {
		return Token{}, classifier.Wrap(classifier.CodePlatformReply, "token", err)
	}
	if token.Format != tokenFormat {
		return Token{}, classifier.New(classifier.CodePlatformReply, "token", "format is %d, not %d",
			token.Format, tokenFormat)
	}
	if err := token.validate(); err != nil {
		return Token{}, classifier.Wrap(classifier.CodePlatformReply, "token", err)
	}
	return token, nil
}

// IsOperator reports whether a request has the bearer token whose digest is given. An empty digest is that of no token.
func IsOperator(r *http.Request, digest string) bool {
	token := bearerToken(r)
	return token != "" && len(token) <= maxTokenBytes && matches(Digest(token), digest)
}

// matches compares the digest of a token with the one that is expected, if there is one.
func matches(digest, expected string) bool {
	return expected != "" && subtle.ConstantTimeCompare([]byte(digest), []byte(expected)) == 1
}

// bearerToken returns the bearer token of a request, or an empty string.
func bearerToken(r *http.Request) string {
	scheme, token, _ := strings.Cut(r.Header.Get("Authorization"), " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
