// Package commander is the command line of jasmineproxy.
package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/jasmineproxy/jasmineproxy/internal/runner"
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
		run:         runner.Run,
	}
	return p.execute(ctx, arguments)
}
