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

// Dependencies are the external services of a node. Tests and measurements replace them.
type Dependencies struct {
	Clock    timekeeper.Clock
	Dial     Dial               // connections to other nodes and to the platform
	Platform connector.Platform // nil for an HTTP client built from the settings
	Log      io.Writer
	// ReloadSignals receives a signal when the settings may have changed; Reload then reads them again. Only hosted
	// nodes use both.
	ReloadSignals <-chan os.Signal
	Reload        func() (loader.Settings, error)
}
