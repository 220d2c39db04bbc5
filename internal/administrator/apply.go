package administrator

import (
	"context"
	"math"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/jasmineproxy/jasmineproxy/internal/auditor"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// applyTimeout bounds one apply, which makes several platform calls of at most 5 s each.
	applyTimeout = 30 * timekeeper.Second
	// defaultWait is the target time for an accepted version to be active on every node.
	defaultWait  = 3 * timekeeper.Second
	maxWait      = 30 * timekeeper.Second
	pollInterval = 20 * timekeeper.Millis(1)
)

var operationPattern = regexp.MustCompile(`^[a-zA-Z0-9-]{1,48}$`)

// Change is the request body of check and apply. Operation is the idempotency key of an apply: a repeated apply has no
// further effect. If it is empty, the node generates it.
type Change struct {
	Operation string           `json:"operation,omitempty"`
	Edits     []publisher.Edit `json:"edits"`
}

// Accepted is the response to an accepted apply. Code is CodeEditNotInForce if the version is not active on this node
// when the wait ends.
type Accepted struct {
	Operation string          `json:"operation"`
	Version   uint64          `json:"version"`
	Digest    string          `json:"digest"`
	Code      classifier.Code `json:"code"`
}

func (a *Administrator) apply(w http.ResponseWriter, r *http.Request, p Principal) error {
	if err := checkQuery(r.URL.Query(), "wait"); err != nil {
		return err
	}
	wait, err := queryNumber(r.URL.Query(), "wait", uint64(defaultWait), uint64(maxWait))
	if err != nil {
		return err
	}
	change, err := readChange(w, r, p)
	if err != nil {
		return err
	}
	operation, err := operationID(change, p)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout.Duration())
	defer cancel()
	previous := a.activeVersion()
	result, err := a.options.Publisher.Submit(ctx, publisher.Set{
		Operation: operation, Author: p.actor(), Edits: change.Edits,
	})
	if err != nil {
		reply := replyErrorOf(err)
		reply.Operation = operation
		return &reply
	}
	a.trail.recordChange(r.Context(), p, auditor.Entry{
		Action: "apply", Subject: sourceNames(change.Edits), From: previous, To: result.Version,
		Reason: "operation " + result.Operation,
	})
	accepted := Accepted{Operation: result.Operation, Version: result.Version, Digest: result.Digest}
	status := http.StatusOK
	if !a.awaitVersion(r.Context(), result.Version, timekeeper.Millis(wait)) {
		accepted.Code, status = classifier.CodeEditNotInForce, http.StatusAccepted
	}
	writeJSON(w, status, accepted)
	return nil
}

// operationID returns the id under which a change is stored. The ids of each client account get a prefix that is unique
// to the account, so that an account cannot read the result of another account's change by reusing its id.
func operationID(change Change, p Principal) (string, error) {
	id := change.Operation
	if id == "" {
		id = uuid.NewString()
	}
	if !operationPattern.MatchString(id) {
		return "", badRequest("operation", "the value must have 1 to 48 letters, digits and hyphens")
	}
	if p.Operator {
		return id, nil
	}
	return Digest(p.Account)[:12] + "-" + id, nil
}

// readChange decodes a change. It refuses a change without edits and edits that the principal may not make.
func readChange(w http.ResponseWriter, r *http.Request, p Principal) (Change, error) {
	var change Change
	if err := decodeBody(w, r, &change); err != nil {
		return Change{}, err
	}
	if len(change.Edits) == 0 {
		return Change{}, badRequest("edits", "the change has no edits")
	}
	for i := range change.Edits {
		edit := &change.Edits[i]
		if err := p.requireAccess(edit.Name); err != nil {
			return Change{}, err
		}
		if edit.Delete && !p.Operator {
			return Change{}, classifier.New(classifier.CodeTokenScope, edit.Name, "only an operator may delete a source")
		}
	}
	return change, nil
}

// awaitVersion waits until a version or a later one is active on this node. It reports false on timeout.
func (a *Administrator) awaitVersion(ctx context.Context, version uint64, wait timekeeper.Millis) bool {
	if a.activeVersion() >= version {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	ticker := time.NewTicker(pollInterval.Duration())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return a.activeVersion() >= version
		case <-ticker.C:
			if a.activeVersion() >= version {
				return true
			}
		}
	}
}

func (a *Administrator) activeVersion() uint64 {
	if view := a.options.Views.Active(); view != nil {
		return view.Version
	}
	return 0
}

// sourceNames joins the names of the edited sources, truncated to 255 bytes for the audit trail.
func sourceNames(edits []publisher.Edit) string {
	names := make([]string, len(edits))
	for i := range edits {
		names[i] = edits[i].Name
	}
	text := strings.Join(names, ", ")
	return text[:min(len(text), math.MaxUint8)]
}
