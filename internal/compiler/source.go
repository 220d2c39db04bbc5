package compiler

import (
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// MaxSourceBytes limits the size of one source, so that a snapshot of all sources stays far below the memory limit of a
// node.
const MaxSourceBytes = 256 << 10

// Prefixes of the names of sources.
const (
	TemplatePrefix = "template."
	AccountPrefix  = "account."
)

// Source is one template or client account as its author wrote it, in YAML or JSON.
// An empty Value marks a deleted source.
type Source struct {
	Name     string `json:"name"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Problem describes why a source does not compile. Object is the name of the source.
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

// IsSourceName reports whether name is a valid name for the source of a template or a client account.
func IsSourceName(name string) bool {
	for _, prefix := range []string{TemplatePrefix, AccountPrefix} {
		if rest, ok := strings.CutPrefix(name, prefix); ok {
			return namePattern.MatchString(rest)
		}
	}
	return false
}
