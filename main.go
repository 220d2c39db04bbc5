// Command jasmineproxy runs a node of the configuration distribution system and its operator commands.
package main

import (
	"os"

	"github.com/jasmineproxy/jasmineproxy/internal/commander"
)

func main() {
	os.Exit(commander.Run(os.Args))
}
