package forwarder

import (
	"context"
	"net/http"
	"strconv"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/deduplicator"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// outcomeTimeout bounds the outcome query of a caller.
const outcomeTimeout = 2 * timekeeper.Second

// serveOutcome answers the outcome query of a caller with the stored answer to the id, or with the state of its record.
func (e *Entry) serveOutcome(w http.ResponseWriter, r *http.Request, id string) {
	if r.Method != http.MethodGet || !validID(id) {
		e.fail(w, classifier.New(classifier.CodeIDMalformed, headerID, "%.40q is not a UUIDv7", id))
		return
	}
	w.Header()[headerID] = []string{id}
	if e.Coordinator == nil {
		e.fail(w, classifier.Unknown(classifier.CodeOutcomeUnknown, id, "this node keeps no records"))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), outcomeTimeout.Duration())
	defer cancel()
	record, err := e.Coordinator.Lookup(ctx, id)
	if err != nil {
		e.fail(w, classifier.Unknown(classifier.CodeOutcomeUnknown, id, "the owners did not answer: %v", err))
		return
	}
	if !e.mayRead(r, record) {
		record = deduplicator.Record{}
	}
	e.writeRecord(w, id, &record)
}

// mayRead reports whether the request is addressed to a host name of the client account of the record.
func (e *Entry) mayRead(r *http.Request, record deduplicator.Record) bool {
	view := e.Views.Active()
	if view == nil || record.State == deduplicator.StateNone {
		return false
	}
	account, err := e.matcher.Account(view, r.Host)
	return err == nil && account.Name == record.Account
}

// writeRecord sends the stored answer of a record. Without one it sends an error that tells whether the request ran, as
// far as the record shows.
func (e *Entry) writeRecord(w http.ResponseWriter, id string, record *deduplicator.Record) {
	switch {
	case record.State == deduplicator.StateClaimed:
		e.fail(w, classifier.Unknown(classifier.CodeDuplicateRunning, id, "the request is running"))
	case record.State == deduplicator.StateReleased:
		e.fail(w, classifier.Refuse(classifier.CodeCanceled, id, "the request did not run"))
	case record.State == deduplicator.StateNone, record.Status == 0:
		e.fail(w, classifier.Unknown(classifier.CodeOutcomeUnknown, id, "the outcome of the request is not known"))
	case record.Answer == nil:
		w.Header()["Jasmine-Status"] = []string{strconv.Itoa(record.Status)}
		e.fail(w, classifier.Unknown(classifier.CodeAnswerGone, id, "the request ran and its answer is not kept"))
	default:
		storedResult(record.Answer).deliver(w, w, &call{})
	}
}
