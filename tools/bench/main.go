// Command bench holds the stand-ins for outside systems and the measurements of jasmineproxy.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

func main() {
	os.Exit(run(os.Args))
}

// run runs the command line and returns the exit code of the process.
func run(arguments []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	command := &cli.Command{
		Name:  "bench",
		Usage: "stand-ins and measurements for jasmineproxy",
		Commands: []*cli.Command{
			platformCommand(), upstreamCommand(), callerCommand(), nodeCommand(), configCommand(), requestsCommand(),
		},
	}
	if err := command.Run(ctx, arguments); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
