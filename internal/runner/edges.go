// Package runner assembles a node from its parts and runs it.
package runner

import (
	"context"
	"io"
	"net"
	"os"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/loader"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Dial opens a connection, with the signature of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Dependencies are the outside of a node. Tests and measurements replace them; a node in use has the defaults.
type Dependencies struct {
	Clock    timekeeper.Clock
	Dial     Dial               // connections to other nodes and to the platform
	Platform connector.Platform // nil for the HTTP client that the settings describe
	Log      io.Writer
	// ReloadSignals tells that the settings may have changed, and Reload reads them again. Used by hosted nodes.
	ReloadSignals <-chan os.Signal
	Reload        func() (loader.Settings, error)
}
