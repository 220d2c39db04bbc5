package commander

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jasmineproxy/jasmineproxy/internal/auditor"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const limitFlag = "limit"

func (p *program) auditCommand() *cli.Command {
	return &cli.Command{
		Name:  "audit",
		Usage: "show the newest entries of the audit trail",
		Flags: clientFlags(&cli.Int64Flag{Name: limitFlag, Usage: "number of entries, at most 1000", Value: 50}),
		Action: func(ctx context.Context, c *cli.Command) error {
			client, err := p.client(c)
			if err != nil {
				return err
			}
			var entries []auditor.Entry
			path := fmt.Sprintf("/v1/audit?limit=%d", c.Int64(limitFlag))
			if err := client.call(ctx, http.MethodGet, path, nil, &entries); err != nil {
				return err
			}
			return p.print(c, entries, func(t *text) {
				for i := range entries {
					writeEntry(t, &entries[i])
				}
			})
		},
	}
}

func writeEntry(t *text, entry *auditor.Entry) {
	versions, code := "", ""
	if entry.From != 0 || entry.To != 0 {
		versions = fmt.Sprintf(" %d -> %d", entry.From, entry.To)
	}
	if entry.Code != classifier.CodeOK {
		code = fmt.Sprintf(" code %d", entry.Code)
	}
	t.line("%s %s: %s: %s%s%s %s", timeText(entry.Time), entry.Actor, entry.Action, entry.Subject, versions, code,
		entry.Reason)
}

func timeText(at timekeeper.Millis) string {
	return time.UnixMilli(int64(at)).UTC().Format("2006-01-02T15:04:05.000Z")
}
