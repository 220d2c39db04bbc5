package commander

import (
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"github.com/jasmineproxy/jasmineproxy/internal/loader"
)

func (p *program) nodeCommand() *cli.Command {
	return &cli.Command{
		Name:  nodeCommand,
		Usage: "run a node beside an upstream",
		Description: "Runs until SIGTERM or SIGINT, then drains: the node refuses new work, ends the work it has and\n" +
			"leaves the mesh.",
		Flags: settingsFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return &usageError{cause: errors.New("node takes no arguments")}
			}
			settings, err := p.settings(c)
			if err != nil {
				return err
			}
			return p.run(ctx, settings, func() (loader.Settings, error) { return p.settings(c) })
		},
	}
}
