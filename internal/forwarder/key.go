package forwarder

import (
	"net/http"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
)

// authenticate finds the client account of a request by its key, where the configuration has keys and the call is not
// public. The key stays on this node; the host node gets the name of the account.
func (e *Entry) authenticate(c *call, view *compiler.View, r *http.Request) error {
	if len(view.Clients) == 0 || c.route.Call.Public {
		return nil
	}
	if e.KeysFresh != nil && !e.KeysFresh() {
		return classifier.Refuse(classifier.CodeKeysStale, e.Name, "it is not known whether keys were withdrawn")
	}
	client, err := e.matcher.Client(view, r.Header.Get(headerKey))
	if err != nil {
		return err
	}
	c.client = client
	c.job.Client, c.job.Order = client.Name, client.OrderOf(c.route.Rank)
	return nil
}

// takeAllotment takes the request off the allotment of its client account.
func (e *Entry) takeAllotment(c *call, r *http.Request) error {
	if e.Allotments == nil || c.client == nil || !c.client.Limited() {
		return nil
	}
	if err := e.Allotments.Take(r.Context(), c.client); err != nil {
		return err
	}
	c.allotted = true
	return nil
}

// returnAllotment gives the allotment of a request back that did not run.
func (e *Entry) returnAllotment(c *call, failure *classifier.Error) {
	if c != nil && c.allotted && failure.Outcome == classifier.OutcomeNotRun {
		e.Allotments.Return(c.client)
	}
}
