package commander

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/jasmineproxy/jasmineproxy/internal/administrator"
)

// tokenRandomBytes is the length of a token's random part. With 256 random bits, the digest needs no salt and no slow
// hash.
const tokenRandomBytes = 32

// NewToken is a generated token and its digest. The token is printed once and never stored.
type NewToken struct {
	Token  string `json:"token"`
	Digest string `json:"digest"`
}

func (p *program) tokenCommand() *cli.Command {
	return &cli.Command{
		Name:  "token",
		Usage: "manage the bearer tokens of operators and client accounts",
		// Without an action, the library runs its help command for an unknown name and exits with code 1.
		Action: func(_ context.Context, c *cli.Command) error { return missingCommand(c) },
		Commands: []*cli.Command{
			{
				Name:  "new",
				Usage: "generate a token and its digest offline, for the setting operator",
				Flags: []cli.Flag{formatFlag()},
				Action: func(_ context.Context, c *cli.Command) error {
					return p.printToken(c, generateToken())
				},
			},
			{
				Name:  "create",
				Usage: "create a token; without --account it is an operator's",
				Flags: clientFlags(
					&cli.StringFlag{Name: "name", Usage: "`NAME` of the holder", Required: true},
					&cli.StringFlag{Name: "account", Usage: "client `ACCOUNT` that the token is for"},
				),
				Action: p.createToken,
			},
			{
				Name: "list", Usage: "list tokens by digest", Flags: clientFlags(), Action: p.listTokens,
			},
			{
				Name: "revoke", Usage: "revoke a token", ArgsUsage: "DIGEST", Flags: clientFlags(), Action: p.revokeToken,
				Description: "Other nodes may take the token for 30 s more, and for 60 min while the platform is down.",
			},
		},
	}
}

func generateToken() NewToken {
	random := make([]byte, tokenRandomBytes)
	_, _ = rand.Read(random) // never fails
	token := base64.RawURLEncoding.EncodeToString(random)
	return NewToken{Token: token, Digest: administrator.Digest(token)}
}

func (p *program) printToken(c *cli.Command, token NewToken) error {
	return p.print(c, token, func(t *text) {
		t.line("token %s", token.Token)
		t.line("digest %s", token.Digest)
	})
}

// createToken generates the token locally and sends only its digest to the node.
func (p *program) createToken(ctx context.Context, c *cli.Command) error {
	client, err := p.client(c)
	if err != nil {
		return err
	}
	token := generateToken()
	grant := administrator.Grant{Digest: token.Digest, Name: c.String("name"), Account: c.String("account")}
	if err := client.call(ctx, http.MethodPost, "/v1/token", grant, nil); err != nil {
		return err
	}
	return p.printToken(c, token)
}

func (p *program) listTokens(ctx context.Context, c *cli.Command) error {
	client, err := p.client(c)
	if err != nil {
		return err
	}
	var list []administrator.Issued
	if err := client.call(ctx, http.MethodGet, "/v1/token", nil, &list); err != nil {
		return err
	}
	return p.print(c, list, func(t *text) {
		for _, issued := range list {
			holder := "operator"
			if issued.Account != "" {
				holder = "account " + issued.Account
			}
			t.line("%s %s %s, created %s by %s", issued.Digest, holder, issued.Name, timeText(issued.Created), issued.Author)
		}
	})
}

func (p *program) revokeToken(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return &usageError{cause: errors.New("token revoke needs one digest; token list shows them")}
	}
	client, err := p.client(c)
	if err != nil {
		return err
	}
	digest := c.Args().First()
	if err := client.call(ctx, http.MethodDelete, "/v1/token?digest="+url.QueryEscape(digest), nil, nil); err != nil {
		return err
	}
	return p.print(c, map[string]string{"revoked": digest}, func(t *text) { t.line("revoked %s", digest) })
}
