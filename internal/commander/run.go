// Package commander is the command line of jasmineproxy.
package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jasmineproxy/jasmineproxy/internal/loader"
	"github.com/jasmineproxy/jasmineproxy/internal/runner"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/platform"
)

// Run runs the command line and returns the exit code of the process. SIGTERM and SIGINT end the command's context.
func Run(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p := &program{
		input:       os.Stdin,
		output:      os.Stdout,
		errors:      os.Stderr,
		environment: os.Environ(),
		run:         runNode,
	}
	return p.execute(ctx, arguments)
}

// runNode runs a node of its own or a hosted one, as the settings say.
func runNode(ctx context.Context, settings loader.Settings, reload func() (loader.Settings, error)) error {
	if !settings.Hosted.Enabled() {
		return runner.Run(ctx, settings)
	}
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	edges := runner.Dependencies{Clock: timekeeper.System(), Log: os.Stdout, ReloadSignals: hangups, Reload: reload}
	return runner.RunHosted(ctx, settings, edges, platform.Protocol(settings))
}
