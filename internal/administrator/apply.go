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
	// applyTimeout bounds one apply. It holds several platform calls, each of 5 s at most.
	applyTimeout = 30 * timekeeper.Second
	// defaultWait is the time within which an accepted version must be in force everywhere.
	defaultWait = 3 * timekeeper.Second
	maxWait     = 30 * timekeeper.Second
	waitStep    = 20 * timekeeper.Millis(1)
)

var operationPattern = regexp.MustCompile(`^[a-zA-Z0-9-]{1,48}$`)

// Change is the body of check and apply. Operation identifies one apply, so that a repeated one has no further effect;
// an empty one is chosen by the node.
type Change struct {
	Operation string           `json:"operation,omitempty"`
	Edits     []publisher.Edit `json:"edits"`
}

// Accepted is the answer to an accepted apply. Code is CodeEditNotInForce if this node does not have the version in
// force after the wait.
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
	wait, err := number(r.URL.Query(), "wait", uint64(defaultWait), uint64(maxWait))
	if err != nil {
		return err
	}
	change, err := readChange(w, r, p)
	if err != nil {
		return err
	}
	operation, err := operationOf(change, p)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), applyTimeout.Duration())
	defer cancel()
	before := a.activeVersion()
	result, err := a.options.Publisher.Submit(ctx, publisher.Set{
		Operation: operation, Author: p.actor(), Edits: change.Edits,
	})
	if err != nil {
		failure := failureOf(err)
		failure.Operation = operation
		return &failure
	}
	a.trail.changed(r.Context(), p, auditor.Entry{
		Action: "apply", Subject: subjects(change.Edits), From: before, To: result.Version,
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

// operationOf returns the id under which a change is stored. The ids of each client account have a prefix of their own,
// so that an account that repeats another's id cannot read the decision on it.
func operationOf(change Change, p Principal) (string, error) {
	id := change.Operation
	if id == "" {
		id = uuid.NewString()
	}
	if !operationPattern.MatchString(id) {
		return "", malformed("operation", "the value must have 1 to 48 letters, digits and hyphens")
	}
	if p.Operator {
		return id, nil
	}
	return Digest(p.Account)[:12] + "-" + id, nil
}

// readChange decodes a change and refuses edits that the principal may not make.
func readChange(w http.ResponseWriter, r *http.Request, p Principal) (Change, error) {
	var change Change
	if err := decodeBody(w, r, &change); err != nil {
		return Change{}, err
	}
	if len(change.Edits) == 0 {
		return Change{}, malformed("edits", "the change has no edits")
	}
	for i := range change.Edits {
		edit := &change.Edits[i]
		if err := p.covers(edit.Name); err != nil {
			return Change{}, err
		}
		if edit.Delete && !p.Operator {
			return Change{}, classifier.New(classifier.CodeTokenScope, edit.Name, "only an operator may delete a source")
		}
	}
	return change, nil
}

// awaitVersion waits until the node has a version, or a later one, in force.
func (a *Administrator) awaitVersion(ctx context.Context, version uint64, wait timekeeper.Millis) bool {
	if a.activeVersion() >= version {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	ticker := time.NewTicker(waitStep.Duration())
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

// subjects lists the names of edited sources, shortened for the audit trail.
func subjects(edits []publisher.Edit) string {
	names := make([]string, len(edits))
	for i := range edits {
		names[i] = edits[i].Name
	}
	text := strings.Join(names, ", ")
	return text[:min(len(text), math.MaxUint8)]
}
