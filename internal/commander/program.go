package commander

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/jasmineproxy/jasmineproxy/internal/loader"
)

// program holds the input, output and environment of one run of the command line, and the function that runs a node.
type program struct {
	input       io.Reader
	output      io.Writer
	errors      io.Writer
	environment []string // NAME=value
	run         func(ctx context.Context, settings loader.Settings, reload func() (loader.Settings, error)) error
}

func (p *program) execute(ctx context.Context, arguments []string) int {
	root := p.root()
	wrapUsageErrors(root)
	err := root.Run(ctx, arguments)
	if err != nil {
		_, _ = fmt.Fprintln(p.errors, "jasmineproxy:", err)
	}
	return exitCode(err)
}

func (p *program) root() *cli.Command {
	return &cli.Command{
		Name:  "jasmineproxy",
		Usage: "configuration distribution system for a service mesh",
		Description: "Exit codes: 0 success; 1 failure without a result code; 2 wrong usage; 11 configuration (1xx);\n" +
			"12 requests (2xx); 13 node protocol (3xx); 14 administration (4xx); 15 platform (5xx).",
		Writer:          p.output,
		ErrWriter:       p.errors,
		HideHelpCommand: true,
		// The default handler of the library exits the process, which would skip deferred calls.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Action:         func(_ context.Context, c *cli.Command) error { return missingCommand(c) },
		Commands: []*cli.Command{
			p.nodeCommand(),
			p.checkCommand(),
			p.applyCommand(),
			p.statusCommand(),
			p.rolloutsCommand(),
			p.explainCommand(),
			p.auditCommand(),
			p.renderCommand(),
			p.drainCommand(),
			p.tokenCommand(),
		},
	}
}

// wrapUsageErrors makes a command and all its subcommands report wrong flags as a usageError.
func wrapUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return &usageError{cause: err}
	}
	for _, child := range command.Commands {
		wrapUsageErrors(child)
	}
}

// missingCommand runs if the arguments select no subcommand. It prints the help, or fails if the first argument is an
// unknown name.
func missingCommand(c *cli.Command) error {
	if c.Args().Present() {
		return &usageError{cause: fmt.Errorf("no command %q; see %s --help", c.Args().First(), c.FullName())}
	}
	return cli.ShowSubcommandHelp(c)
}

// environmentVariable returns the value of an environment variable, or an empty string if it is not set.
func (p *program) environmentVariable(name string) string {
	for _, pair := range p.environment {
		if key, value, _ := strings.Cut(pair, "="); key == name {
			return value
		}
	}
	return ""
}
