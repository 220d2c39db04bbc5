package runner

import (
	"context"
	"net/http"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/registrar"
	"github.com/jasmineproxy/jasmineproxy/internal/rollouter"
)

// Protocol is the interface of a hosted node to the platform on which it runs.
type Protocol struct {
	Platform func(*zap.Logger) connector.Platform // returns the client of the platform
	// Kind and Name identify the object in which the operator stores the configuration. Decode turns its value into a
	// view.
	Kind, Name string
	Decode     func(value []byte) (*compiler.View, error)
	Entry      func(http.Handler) http.Handler           // translates between callers and the node
	Upstream   func(http.RoundTripper) http.RoundTripper // translates between the node and its upstream
	Control    func(*registrar.Registrar) http.Handler   // receives the heartbeats of the upstream
	// Health runs the upstream's health check: a request for the path at the address.
	Health func(ctx context.Context, address, path string) (registrar.Health, error)
	Ready  func(ready func() bool) http.Handler // serves the platform's readiness check
	// OrderKind is the kind of the objects in which operators order roll-outs. DecodeOrder reads one, and EncodeStatus
	// returns the status of a roll-out in the platform's form.
	OrderKind    string
	DecodeOrder  func(*connector.Object) (*rollouter.Order, error)
	EncodeStatus func(*rollouter.Status) ([]byte, error)
}
