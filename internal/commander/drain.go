package commander

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/jasmineproxy/jasmineproxy/internal/administrator"
)

func (p *program) drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "start the planned stop of a node",
		Description: "The node refuses new work, ends the work it has, leaves the mesh and exits. The command returns\n" +
			"when the stop has begun.",
		Flags: clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := p.client(c)
			if err != nil {
				return err
			}
			var health administrator.Health
			if err := client.call(ctx, http.MethodPost, "/v1/drain", nil, &health); err != nil {
				return err
			}
			return p.print(c, health, func(t *text) { t.line("the node at %s is draining", client.base) })
		},
	}
}
