package compiler

import (
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// MaxSourceBytes bounds one source, so that a whole snapshot of sources stays far below what a node may hold.
const MaxSourceBytes = 256 << 10

// Prefixes of the names of sources.
const (
	TemplatePrefix = "template."
	AccountPrefix  = "account."
)

// Source is one template or client account as its author wrote it, in YAML or JSON.
// An empty Value marks a source that was deleted.
type Source struct {
	Name     string `json:"name"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Problem is a reason why sources do not compile.
type Problem struct {
	Object string          `json:"object" msgpack:"o"`
	Field  string          `json:"field"  msgpack:"f"`
	Reason string          `json:"reason" msgpack:"r"`
	Code   classifier.Code `json:"code"   msgpack:"c"`
}

// Err returns the problem as an error.
func (p Problem) Err() error {
	return &classifier.Error{Code: p.Code, Subject: p.Object, Field: p.Field, Reason: p.Reason}
}

// IsSourceName reports whether name is that of a template or a client account.
func IsSourceName(name string) bool {
	for _, prefix := range []string{TemplatePrefix, AccountPrefix} {
		if rest, ok := strings.CutPrefix(name, prefix); ok {
			return namePattern.MatchString(rest)
		}
	}
	return false
}
