package commander

import (
	"context"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/jasmineproxy/jasmineproxy/internal/rollouter"
)

func (p *program) rolloutsCommand() *cli.Command {
	return &cli.Command{
		Name:  "rollouts",
		Usage: "show the roll-outs that a hosted node knows, and the progress of those that it conducts",
		Flags: clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := p.client(c)
			if err != nil {
				return err
			}
			var overview rollouter.Overview
			if err := client.call(ctx, http.MethodGet, "/v1/rollouts", nil, &overview); err != nil {
				return err
			}
			return p.print(c, overview, func(t *text) { writeRollouts(t, &overview) })
		},
	}
}

func writeRollouts(t *text, overview *rollouter.Overview) {
	if len(overview.Orders) == 0 {
		t.line("no roll-outs")
	}
	for _, order := range overview.Orders {
		status := order.Current()
		phase := string(status.Phase)
		switch {
		case order.Removed:
			phase = "removed"
		case phase == "":
			phase = "not begun"
		case status.Switching:
			phase = "running, the other versions end their requests"
		}
		t.line("service %s to version %s in %d ms: %s", order.Service, order.Target, order.Period, phase)
		if len(status.Rejected) > 0 {
			t.line("  rejected versions: %s", listText(status.Rejected))
		}
	}
	for _, progress := range overview.Conducted {
		t.line("conducted here: service %s to version %s, stage %s, %d of %d requests, score %.1f", progress.Service,
			progress.Target, progress.Stage, progress.Exposed, progress.Exposed+progress.Served, progress.Score)
		if progress.Reason != "" {
			t.line("  because of %s", progress.Reason)
		}
	}
}
