package commander

import (
	"context"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/jasmineproxy/jasmineproxy/internal/administrator"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

func (p *program) statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show a node's versions, members, marks and recent refusals",
		Flags: clientFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := p.client(c)
			if err != nil {
				return err
			}
			var status administrator.Status
			if err := client.call(ctx, http.MethodGet, "/v1/status", nil, &status); err != nil {
				return err
			}
			return p.print(c, status, func(t *text) { writeStatus(t, &status) })
		},
	}
}

func listText(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	return strings.Join(names, " ")
}

func writeStatus(t *text, status *administrator.Status) {
	state := "not ready (code 231)"
	switch {
	case status.Draining:
		state = "draining (code 222)"
	case status.Ready:
		state = "ready"
	}
	t.line("node %s, zone %s, service %s: %s", status.Node.Name, status.Node.Zone, status.Node.Service, state)
	t.line("version in force %d, known %d, floor %d, digest %s", status.Active, status.Known, status.Floor, status.Digest)
	if status.Platform == classifier.CodeOK {
		t.line("platform: answers")
	} else {
		t.line("platform: code %d", status.Platform)
	}
	for _, zone := range status.Zones {
		t.line("zone %s: %d ready, %d starting, %d draining, %d suspect, %d failed, %d left, %d behind; relays %s",
			zone.Name, zone.Ready, zone.Starting, zone.Draining, zone.Suspect, zone.Failed, zone.Left, zone.Behind,
			listText(zone.Relays))
	}
	for _, mark := range status.Marks {
		t.line("crash mark: account %s, call %s, by %s, until %s", mark.Account, mark.Call, mark.Kind, timeText(mark.Until))
	}
	for i := range status.Refusals {
		refusal := &status.Refusals[i]
		t.line("refused %s: %s by %s: code %d: %s: %s: %s", timeText(refusal.Time), refusal.Operation, refusal.Author,
			refusal.Code, refusal.Subject, refusal.Field, refusal.Reason)
	}
}
