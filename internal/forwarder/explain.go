package forwarder

import (
	"errors"
	"net/http"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/router"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Explanation states where a request would go now, and why. It comes from the code that decides about requests.
type Explanation struct {
	Node       string             `json:"node"`
	Version    uint64             `json:"version"` // of the configuration in force
	Account    string             `json:"account,omitempty"`
	Client     string             `json:"client,omitempty"` // that the key names
	Rate       float64            `json:"rate,omitempty"`   // allotment of the client account per second on all nodes
	Burst      float64            `json:"burst,omitempty"`
	Call       string             `json:"call,omitempty"`
	Service    string             `json:"service,omitempty"`
	Split      []compiler.Part    `json:"split,omitempty"` // services among which each request is drawn by weight
	Order      int                `json:"order"`
	Idempotent bool               `json:"idempotent"`
	Timeout    timekeeper.Millis  `json:"timeout,omitempty"`
	Target     timekeeper.Millis  `json:"target,omitempty"`
	Attempts   int                `json:"attempts,omitempty"` // bound on the upstreams of one request; 0 for the usual one
	Hedge      timekeeper.Millis  `json:"hedge,omitempty"`    // after which a second attempt may be sent
	Candidates []router.Candidate `json:"candidates,omitempty"`
	Refusal    *classifier.Error  `json:"refusal,omitempty"`
	Retry      timekeeper.Millis  `json:"retry,omitempty"` // Retry-After of the refusal
}

// Explain explains a request without sending it or taking it off an allotment.
func (e *Entry) Explain(r *http.Request) Explanation {
	explained := Explanation{Node: e.Name}
	c, err := e.resolveRoute(r)
	if view := e.Views.Active(); view != nil {
		explained.Version = view.Version
	}
	if c != nil {
		explained.describe(c)
	}
	if err != nil {
		explained.refuse(err, e.Clock.Now())
		return explained
	}
	if e.Hedger != nil && c.job.Idempotent {
		explained.Hedge, _ = e.Hedger.Delay(c.job.Call)
	}
	explained.Candidates = e.Picker.Explain(c.pick)
	if _, err = e.Picker.Pick(c.pick); err != nil {
		explained.refuse(err, e.Clock.Now())
	}
	return explained
}

func (x *Explanation) describe(c *call) {
	x.Account, x.Client, x.Call, x.Service = c.job.Account, c.job.Client, c.job.Call, c.job.Service
	x.Split, x.Order, x.Idempotent = c.route.Call.Split, c.job.Order, c.job.Idempotent
	x.Timeout, x.Target, x.Attempts = c.route.Call.Timeout, c.job.Target, c.route.Call.Attempts
	if c.client != nil {
		x.Rate, x.Burst = c.client.Rate, c.client.Burst
	}
}

func (x *Explanation) refuse(err error, now timekeeper.Millis) {
	var failure *classifier.Error
	if !errors.As(err, &failure) {
		failure = failureOf(err)
	}
	x.Refusal, x.Retry = failure, retryAfter(failure, now)
}
