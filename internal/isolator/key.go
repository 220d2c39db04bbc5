// Package isolator refuses requests that crash upstreams. It counts the upstream crashes during which a request ran,
// and spreads the counts to all nodes.
package isolator

import (
	"encoding/binary"
	"hash"

	"github.com/cespare/xxhash/v2"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Key identifies a request by everything that a mark can refuse: its id, its call and its fingerprint.
type Key struct {
	ID          string `json:"id"          msgpack:"i"`
	Account     string `json:"account"     msgpack:"a"`
	Call        string `json:"call"        msgpack:"c"`
	Fingerprint uint64 `json:"fingerprint" msgpack:"f"`
}

// Fingerprint returns the hash of a request, whose body may come in parts. Requests that are the same to an upstream
// have the same fingerprint.
func Fingerprint(account, call, method, path, query string, body ...[]byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{account, call, method, path, query} {
		writePart(digest, part)
	}
	for _, part := range body {
		_, _ = digest.Write(part)
	}
	return digest.Sum64()
}

// writePart adds a string with its length to the hash, so that the boundaries between parts are unambiguous.
func writePart(digest hash.Hash, part string) {
	_, _ = digest.Write(binary.AppendUvarint(nil, uint64(len(part))))
	_, _ = digest.Write([]byte(part))
}

// Crash reports one request that was running when an upstream crashed. Host, Incarnation and Number identify the crash
// and are equal for all requests that were running. Age is the age of the crash in ms when the report is sent.
type Crash struct {
	Key         Key               `msgpack:"k"`
	Host        string            `msgpack:"h"`
	Incarnation uint64            `msgpack:"n"`
	Number      uint64            `msgpack:"q"`
	Age         timekeeper.Millis `msgpack:"a"`
}

// Scope states which requests a mark refuses.
type Scope string

// Scopes of marks: one id, one fingerprint, or a call as a whole.
const (
	ScopeID          Scope = "id"
	ScopeFingerprint Scope = "fingerprint"
	ScopeCall        Scope = "call"
)

// Mark refuses requests until a time in ms since the Unix epoch by this node's clock. Only the fields of Key that
// belong to the scope are set.
type Mark struct {
	Scope   Scope             `json:"scope"`
	Key     Key               `json:"key"`
	Crashes int               `json:"deaths"`
	Until   timekeeper.Millis `json:"until"`
}
