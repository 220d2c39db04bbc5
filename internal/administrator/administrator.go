// Package administrator serves the administration API of a node: JSON over HTTP on the admin address.
package administrator

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/logger"
	"github.com/jasmineproxy/jasmineproxy/internal/meter"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Options are the dependencies of an Administrator. Marks may be nil.
type Options struct {
	Platform  connector.Platform
	Publisher Publisher
	Auditor   Auditor
	Views     Views
	Members   Members
	Marks     func() []Mark // lists the active crash marks
	Metrics   *meter.Meter  // counts refused requests by code; served at /metrics
	Draining  func() bool   // reports whether the planned stop of the node has begun
	Drain     func()        // starts the planned stop and returns at once
	Node      Node          // name, data centre and service of the node
	Operator  string        // SHA-256 of the bootstrap operator token, in hexadecimal; empty if there is none
	Clock     timekeeper.Clock
	Logger    *zap.Logger
}

// Node identifies a node by its name, data centre and service.
type Node struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
}

// Administrator serves the administration API.
type Administrator struct {
	options       Options
	authenticator *authenticator
	trail         *trail
	mux           *http.ServeMux
}

// New returns an Administrator. It starts no goroutine.
func New(options Options) *Administrator {
	limited := logger.NewLimited(logger.WithPrefix(options.Logger, "administrator"), options.Clock)
	a := &Administrator{
		options:       options,
		authenticator: newAuthenticator(options.Platform, options.Clock, options.Operator),
		trail:         newTrail(options.Auditor, options.Clock, limited, options.Metrics),
		mux:           http.NewServeMux(),
	}
	a.mux.HandleFunc("GET /healthz", a.health)
	a.handle("/", a.unknownEndpoint)
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

// handler serves a request of an authenticated principal. A returned error is logged, audited and sent as a ReplyError.
type handler func(w http.ResponseWriter, r *http.Request, p Principal) error

// handle registers a handler that runs only for requests with a valid token.
func (a *Administrator) handle(pattern string, serve handler) {
	a.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		p, err := a.authenticator.authenticate(r.Context(), bearerToken(r))
		if err != nil {
			a.refuse(w, r, Principal{}, err)
			return
		}
		if err := serve(w, r, p); err != nil {
			a.refuse(w, r, p, err)
		}
	})
}

func (a *Administrator) unknownEndpoint(_ http.ResponseWriter, r *http.Request, _ Principal) error {
	return badRequest("path", "there is no "+r.Method+" "+r.URL.Path)
}

func (a *Administrator) refuse(w http.ResponseWriter, r *http.Request, p Principal, err error) {
	a.trail.recordRefusal(r, p, err)
	reply := replyErrorOf(err)
	if !p.Operator {
		newRedactor(p).redactError(&reply)
	}
	writeError(w, reply)
}
