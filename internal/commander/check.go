package commander

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"
)

func (p *program) checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "validate settings offline",
		Flags: settingsFlags(),
		Action: func(_ context.Context, c *cli.Command) error {
			if _, err := p.settings(c); err != nil {
				return err
			}
			_, err := fmt.Fprintln(p.output, "settings are valid")
			return err
		},
	}
}
