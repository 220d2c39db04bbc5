// Package administrator is the administration API of a node: HTTP and JSON on the admin address.
package administrator

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/logger"
	"github.com/jasmineproxy/jasmineproxy/internal/meter"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Options are the parts of an Administrator. Marks may be nil.
type Options struct {
	Platform  connector.Platform
	Publisher Publisher
	Auditor   Auditor
	Views     Views
	Members   Members
	Marks     func() []Mark // requests that are refused because they crash upstreams
	Metrics   *meter.Meter  // counts refused requests by code; its text is /metrics
	Draining  func() bool   // whether the node's planned stop has begun
	Drain     func()        // starts the planned stop and returns at once
	Node      Node          // what the node is called
	Operator  string        // SHA-256 of the bootstrap operator token in hexadecimal; empty for none
	Clock     timekeeper.Clock
	Logger    *zap.Logger
}

// Node names a node and its place.
type Node struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
}

// Administrator serves the administration API.
type Administrator struct {
	options Options
	keeper  *keeper
	trail   *trail
	mux     *http.ServeMux
}

// New returns an Administrator. It starts no goroutine.
func New(options Options) *Administrator {
	limited := logger.NewLimited(logger.WithPrefix(options.Logger, "administrator"), options.Clock)
	a := &Administrator{
		options: options,
		keeper:  newKeeper(options.Platform, options.Clock, options.Operator),
		trail:   newTrail(options.Auditor, options.Clock, limited, options.Metrics),
		mux:     http.NewServeMux(),
	}
	a.mux.HandleFunc("GET /healthz", a.health)
	a.handle("/", a.missing)
	a.handle("GET /metrics", a.metrics)
	a.handle("POST /v1/check", a.check)
	a.handle("POST /v1/apply", a.apply)
	a.handle("GET /v1/status", a.status)
	a.handle("GET /v1/audit", a.audit)
	a.handle("GET /v1/render", a.render)
	a.handle("GET /v1/diff", a.diff)
	a.handle("POST /v1/drain", a.drain)
	a.handle("GET /v1/token", a.listTokens)
	a.handle("POST /v1/token", a.createToken)
	a.handle("DELETE /v1/token", a.revokeToken)
	return a
}

// ServeHTTP implements http.Handler.
func (a *Administrator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.mux.ServeHTTP(w, r)
}

// endpoint answers one request of a known principal. A returned error is logged, audited and sent as a ReplyError.
type endpoint func(w http.ResponseWriter, r *http.Request, p Principal) error

// handle registers an endpoint behind the check of the token.
func (a *Administrator) handle(pattern string, serve endpoint) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		p, err := a.keeper.identify(r.Context(), bearer(r))
		if err != nil {
			a.refuse(w, r, Principal{}, err)
			return
		}
		if err := serve(w, r, p); err != nil {
			a.refuse(w, r, p, err)
		}
	})
}

func (a *Administrator) missing(_ http.ResponseWriter, r *http.Request, _ Principal) error {
	return malformed("path", "there is no "+r.Method+" "+r.URL.Path)
}

func (a *Administrator) refuse(w http.ResponseWriter, r *http.Request, p Principal, err error) {
	a.trail.refused(r, p, err)
	failure := failureOf(err)
	if !p.Operator {
		newRedactor(p).failure(&failure)
	}
	writeFailure(w, failure)
}
