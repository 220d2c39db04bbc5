package runner

import (
	"context"
	"net/http"

	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/registrar"
)

// Protocol is what a hosted node speaks with the platform that it runs on.
type Protocol struct {
	Platform connector.Platform
	// Kind and Name are those of the object in which the operator stores the configuration, and Decode reads it.
	Kind, Name string
	Decode     func(value []byte) (*compiler.View, error)
	Entry      func(http.Handler) http.Handler           // adds the protocol of callers
	Upstream   func(http.RoundTripper) http.RoundTripper // adds the protocol of upstreams
	Control    func(*registrar.Registrar) http.Handler   // takes the heartbeats of the upstream
	// Health asks the upstream at an address for the health check at a path.
	Health func(ctx context.Context, address, path string) (registrar.Health, error)
	Ready  func(ready func() bool) http.Handler // answers whether the node takes callers
}
