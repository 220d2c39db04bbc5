package commander

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"strconv"

	"github.com/goccy/go-yaml"
	"github.com/urfave/cli/v3"

	"github.com/jasmineproxy/jasmineproxy/internal/administrator"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
)

const (
	versionFlag = "version"
	sourceFlag  = "source"
	diffFlag    = "diff"
)

func (p *program) renderCommand() *cli.Command {
	return &cli.Command{
		Name:  "render",
		Usage: "show a configuration version, a source, or the difference between two versions",
		Description: "Without flags, shows the version in force on the node. With --source, shows a template or client\n" +
			"account with its revision on the first line, ready to be edited and applied.",
		Flags: clientFlags(
			&cli.Uint64Flag{Name: versionFlag, Usage: "the `VERSION` to show; 0 is the one in force"},
			&cli.StringFlag{Name: sourceFlag, Usage: "`NAME` of a source, such as account.ochre"},
			&cli.Uint64Flag{Name: diffFlag, Usage: "show what changed from this `VERSION` to --version"},
		),
		Action: p.render,
	}
}

func (p *program) render(ctx context.Context, c *cli.Command) error {
	if c.IsSet(sourceFlag) && (c.IsSet(versionFlag) || c.IsSet(diffFlag)) {
		return &usageError{cause: errors.New("--source shows the current source; it goes with no version")}
	}
	client, err := p.client(c)
	if err != nil {
		return err
	}
	version := strconv.FormatUint(c.Uint64(versionFlag), 10)
	if c.IsSet(diffFlag) {
		return p.renderDiff(ctx, c, client, version)
	}
	query := url.Values{}
	if c.IsSet(sourceFlag) {
		query.Set("source", c.String(sourceFlag))
	} else {
		query.Set("version", version)
	}
	var rendered administrator.Rendered
	if err := client.call(ctx, http.MethodGet, "/v1/render?"+query.Encode(), nil, &rendered); err != nil {
		return err
	}
	if source := rendered.Source; source != nil {
		return p.renderSource(c, source)
	}
	content, err := viewText(rendered.View)
	if err != nil {
		return err
	}
	return p.print(c, rendered.View, func(t *text) { t.lines.WriteString(content) })
}

// renderSource prints the revision and then the source byte for byte, so that applying an edited copy changes nothing
// else.
func (p *program) renderSource(c *cli.Command, source *administrator.Source) error {
	return p.print(c, source, func(t *text) {
		t.line("# revision %d", source.Revision)
		t.lines.WriteString(source.Value)
	})
}

func (p *program) renderDiff(ctx context.Context, c *cli.Command, client *client, version string) error {
	query := url.Values{"from": {strconv.FormatUint(c.Uint64(diffFlag), 10)}, "to": {version}}
	var diff administrator.Diff
	if err := client.call(ctx, http.MethodGet, "/v1/diff?"+query.Encode(), nil, &diff); err != nil {
		return err
	}
	return p.print(c, diff, func(t *text) {
		t.line("version %d to version %d: %s", diff.From, diff.To, plural(len(diff.Differences), "difference"))
		for _, difference := range diff.Differences {
			t.line("  %s: %s -> %s", difference.Path, valueText(difference.Before), valueText(difference.After))
		}
	})
}

// viewText formats a view as YAML with the field names of the API.
func viewText(view *compiler.View) (string, error) {
	content, err := json.Marshal(view)
	if err != nil {
		return "", err
	}
	converted, err := yaml.JSONToYAML(content)
	return string(converted), err
}

// valueText formats one side of a difference as JSON on one line, or as "absent" if there is no value.
func valueText(value any) string {
	if value == nil {
		return "absent"
	}
	content, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(content)
}
