// Package commander is the command line of jasmineproxy.
package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

// Run runs the command line and returns the exit code of the process.
func Run(arguments []string) int {
	command := &cli.Command{
		Name:  "jasmineproxy",
		Usage: "configuration distribution system for a service mesh",
	}
	if err := command.Run(context.Background(), arguments); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
