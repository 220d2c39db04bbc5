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
	reloadSignals := make(chan os.Signal, 1)
	if len(arguments) > 1 && arguments[1] == nodeCommand {
		signal.Notify(reloadSignals, syscall.SIGHUP) // before anything else: the signal would end the process
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	p := &program{
		input:       os.Stdin,
		output:      os.Stdout,
		errors:      os.Stderr,
		environment: os.Environ(),
		run: func(ctx context.Context, settings loader.Settings, reload func() (loader.Settings, error)) error {
			return runNode(ctx, settings, reload, reloadSignals)
		},
	}
	return p.execute(ctx, arguments)
}

// nodeCommand is the command that runs a node.
const nodeCommand = "node"

// runNode runs a hosted node if the settings enable hosting, and otherwise a standalone node, which SIGHUP ends. A
// hosted node reloads its settings at each signal.
func runNode(
	ctx context.Context, settings loader.Settings, reload func() (loader.Settings, error), reloadSignals chan os.Signal,
) error {
	if !settings.Hosted.Enabled() {
		signal.Stop(reloadSignals)
		return runner.Run(ctx, settings)
	}
	defer signal.Stop(reloadSignals)
	dependencies := runner.Dependencies{
		Clock: timekeeper.System(), Log: os.Stdout, ReloadSignals: reloadSignals, Reload: reload,
	}
	return runner.RunHosted(ctx, settings, dependencies, platform.Protocol(settings))
}
