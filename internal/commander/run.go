// Package commander is the command line of jasmineproxy.
package commander

import (
	"context"
	"os"
	"os/signal"
	"syscall"
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
