// Package isolator refuses requests that crash upstreams. It counts the deaths of upstreams for the requests that ran
// there, and spreads the counts to all nodes.
package isolator

import (
	"encoding/binary"
	"hash"

	"github.com/cespare/xxhash/v2"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Key identifies a request in the ways in which it can be refused.
type Key struct {
	ID          string `json:"id"          msgpack:"i"`
	Account     string `json:"account"     msgpack:"a"`
	Call        string `json:"call"        msgpack:"c"`
	Fingerprint uint64 `json:"fingerprint" msgpack:"f"`
}

// Fingerprint returns the hash of what makes two requests the same to an upstream.
func Fingerprint(account, call, method, path, query string, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{account, call, method, path, query} {
		writePart(digest, part)
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// writePart adds a length and a text to the hash, so that parts cannot run into one another.
func writePart(digest hash.Hash, part string) {
	_, _ = digest.Write(binary.AppendUvarint(nil, uint64(len(part))))
	_, _ = digest.Write([]byte(part))
}

// Crash is the report of one request that ran on an upstream when it died. Host, Incarnation and Number identify the
// death; all requests that ran there share them. Age is in ms when the report is sent.
type Crash struct {
	Key         Key               `msgpack:"k"`
	Host        string            `msgpack:"h"`
	Incarnation uint64            `msgpack:"n"`
	Number      uint64            `msgpack:"q"`
	Age         timekeeper.Millis `msgpack:"a"`
}

// Scope is what a mark refuses.
type Scope string

// Scopes of marks.
const (
	ScopeID          Scope = "id"
	ScopeFingerprint Scope = "fingerprint"
	ScopeCall        Scope = "call"
)

// Mark refuses requests until a time in ms since the Unix epoch by this node's clock. Only the parts of Key that
// belong to the scope are set.
type Mark struct {
	Scope   Scope             `json:"scope"`
	Key     Key               `json:"key"`
	Crashes int               `json:"deaths"`
	Until   timekeeper.Millis `json:"until"`
}
