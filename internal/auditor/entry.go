// Package auditor stores the audit trail of administration on the platform.
package auditor

import (
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Entry is one audited event. From and To are configuration versions or revisions, depending on Action.
type Entry struct {
	Time    timekeeper.Millis `json:"time"`
	Actor   string            `json:"actor"` // name of the principal, such as operator:ana or account.ochre:luz
	Action  string            `json:"action"`
	Subject string            `json:"subject"` // object, token holder or request path that the action concerns
	From    uint64            `json:"from,omitempty"`
	To      uint64            `json:"to,omitempty"`
	Code    classifier.Code   `json:"code"` // CodeOK unless the action was refused
	Reason  string            `json:"reason,omitempty"`
}
