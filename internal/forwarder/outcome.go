package forwarder

import (
	"net/http"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// serveOutcome answers the outcome query of a caller.
func (e *Entry) serveOutcome(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Path[len(outcomePath):]
	if r.Method != http.MethodGet || !validID(id) {
		e.fail(w, classifier.New(classifier.CodeIDMalformed, headerID, "%.40q is not a UUIDv7", id))
		return
	}
	e.fail(w, classifier.Unknown(classifier.CodeOutcomeUnknown, id, "nothing is known of the request"))
}
