// Package commander implements the command line of jasmineproxy.
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

// Run executes the command line and returns the exit code of the process. SIGTERM and SIGINT cancel the command's
// context.
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

// runNode runs a hosted node if the settings enable hosting, and otherwise a standalone node. SIGHUP makes a hosted
// node reload its settings.
func runNode(ctx context.Context, settings loader.Settings, reload func() (loader.Settings, error)) error {
	if !settings.Hosted.Enabled() {
		return runner.Run(ctx, settings)
	}
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	dependencies := runner.Dependencies{
		Clock: timekeeper.System(), Log: os.Stdout, ReloadSignals: reloadSignals, Reload: reload,
	}
	return runner.RunHosted(ctx, settings, dependencies, platform.Protocol(settings))
}
