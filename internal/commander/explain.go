package commander

import (
	"context"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/jasmineproxy/jasmineproxy/internal/forwarder"
	"github.com/jasmineproxy/jasmineproxy/internal/router"
	"github.com/jasmineproxy/jasmineproxy/internal/runner"
)

const (
	methodFlag = "method"
	hostFlag   = "host"
	pathFlag   = "path"
	keyFlag    = "key-file"
	// maxShownCandidates bounds the members that the text lists.
	maxShownCandidates = 20
)

func (p *program) explainCommand() *cli.Command {
	return &cli.Command{
		Name:  "explain",
		Usage: "show where a hosted node would send a request now, and why, without sending it",
		Flags: clientFlags(
			&cli.StringFlag{Name: methodFlag, Usage: "`METHOD` of the request", Value: http.MethodGet},
			&cli.StringFlag{Name: hostFlag, Usage: "`HOST` of the request", Required: true},
			&cli.StringFlag{Name: pathFlag, Usage: "`PATH` of the request, with its query", Required: true},
			&cli.StringFlag{Name: keyFlag, Usage: "`FILE` with the caller's key; without it $JASMINE_KEY is used"},
		),
		Action: p.explain,
	}
}

func (p *program) explain(ctx context.Context, c *cli.Command) error {
	client, err := p.client(c)
	if err != nil {
		return err
	}
	question := runner.Question{Method: c.String(methodFlag), Host: c.String(hostFlag), Path: c.String(pathFlag)}
	question.Key = strings.TrimSpace(p.environmentVariable("JASMINE_KEY"))
	if path := c.String(keyFlag); path != "" {
		if question.Key, err = p.token(path); err != nil {
			return err
		}
	}
	var explanation forwarder.Explanation
	if err := client.call(ctx, http.MethodPost, "/v1/explain", question, &explanation); err != nil {
		return err
	}
	return p.print(c, explanation, func(t *text) { writeExplanation(t, &explanation) })
}

func writeExplanation(t *text, x *forwarder.Explanation) {
	t.line("node %s, version %d", x.Node, x.Version)
	if x.Call != "" {
		kind := "runs once at most"
		if x.Idempotent {
			kind = "may be repeated"
		}
		t.line("call %s of account %s: service %s, order %d, target %d ms, timeout %d ms, %s", x.Call, x.Account,
			x.Service, x.Order, x.Target, x.Timeout, kind)
	}
	for _, part := range x.Split {
		t.line("  drawn by weight: service %s, weight %d", part.Service, part.Weight)
	}
	if x.Client != "" {
		t.line("client account %s, %g requests/s and a burst of %g on all nodes", x.Client, x.Rate, x.Burst)
	}
	if x.Hedge > 0 {
		t.line("a second attempt may follow after %d ms", x.Hedge)
	}
	if x.Refusal != nil {
		t.line("refused: %v", x.Refusal)
		if x.Retry > 0 {
			t.line("  Retry-After %d ms", x.Retry)
		}
	}
	for i := range x.Candidates {
		if i == maxShownCandidates {
			t.line("  and %d more", len(x.Candidates)-i)
			return
		}
		writeCandidate(t, &x.Candidates[i])
	}
}

func writeCandidate(t *text, c *router.Candidate) {
	verdict := "may be chosen"
	if c.Passed != "" {
		verdict = "passed over: " + c.Passed
	}
	age := "no report"
	if c.Age >= 0 {
		age = "reported " + c.Age.Duration().String() + " ago"
	}
	t.line("  %s in %s: load %g of %d slots, score %g, pace %g, wait %d ms, %s; %s", c.Name, c.Zone, c.Load, c.Slots,
		c.Score, c.Pace, c.Wait, age, verdict)
}
