package commander

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jasmineproxy/jasmineproxy/internal/administrator"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/verifier"
)

const (
	nodeFlag    = "node"
	tokenFlag   = "token-file"
	timeoutFlag = "timeout"
	outputFlag  = "output"

	defaultNode = "http://127.0.0.1:8200"
	// defaultTimeout exceeds the longest apply on a node (30 s) and the wait for activation that follows it.
	defaultTimeout = 70 * timekeeper.Second
	// maxReplyBytes bounds the body of a response. A view of 3,500 accounts with 10 calls each takes about 10 MB.
	maxReplyBytes = 64 << 20
	maxTokenBytes = 512
	// dialTimeout bounds the wait for a connection to a node.
	dialTimeout = 30 * time.Second
)

// clientFlags appends the flags shared by all commands that send requests to a node. No flag holds the token itself,
// because other users of the server can see the arguments of a process.
func clientFlags(specific ...cli.Flag) []cli.Flag {
	return append(specific,
		&cli.StringFlag{
			Name: nodeFlag, Usage: "base `URL` of the node's admin address [$JASMINE_NODE]", DefaultText: defaultNode,
		},
		&cli.StringFlag{Name: tokenFlag, Usage: "`FILE` with the bearer token; without it $JASMINE_TOKEN is used"},
		&cli.Int64Flag{Name: timeoutFlag, Usage: "deadline of a request, in ms", Value: int64(defaultTimeout)},
		formatFlag(),
	)
}

// client sends requests to the administration API of one node.
type client struct {
	base    string
	token   string
	timeout timekeeper.Millis
}

func (p *program) client(c *cli.Command) (*client, error) {
	base := c.String(nodeFlag)
	if base == "" {
		base = p.environmentVariable("JASMINE_NODE")
	}
	if base == "" {
		base = defaultNode
	}
	address, err := url.Parse(base)
	if err != nil || address.Host == "" || (address.Scheme != "http" && address.Scheme != "https") {
		return nil, &usageError{cause: fmt.Errorf("%q is not an http or https URL", base)}
	}
	token, err := p.token(c.String(tokenFlag))
	if err != nil {
		return nil, err
	}
	timeout := timekeeper.Millis(c.Int64(timeoutFlag))
	return &client{base: strings.TrimRight(base, "/"), token: token, timeout: timeout}, nil
}

// token returns the bearer token from the file at path, or from JASMINE_TOKEN if path is empty.
func (p *program) token(path string) (string, error) {
	if path == "" {
		return strings.TrimSpace(p.environmentVariable("JASMINE_TOKEN")), nil
	}
	file, err := os.Open(path)
	if err != nil {
		return "", &usageError{cause: err}
	}
	defer func() { _ = file.Close() }()
	content, err := io.ReadAll(io.LimitReader(file, maxTokenBytes))
	if err != nil {
		return "", &usageError{cause: err}
	}
	return strings.TrimSpace(string(content)), nil
}

// httpClient sends each request once; a redirection is an error.
var httpClient = newHTTPClient((&net.Dialer{Timeout: dialTimeout}).DialContext)

// newHTTPClient returns a client whose connections are opened by dial.
func newHTTPClient(dial verifier.DialFunc) *http.Client {
	transport := &http.Transport{
		Proxy: http.ProxyFromEnvironment, DialContext: verifier.Dial(dial), TLSHandshakeTimeout: dialTimeout,
		MaxResponseHeaderBytes: verifier.MaxHead,
	}
	return &http.Client{Transport: &verifier.Transport{Next: transport}, CheckRedirect: connector.RefuseRedirects}
}

// call sends a request and decodes the response into target, unless target is nil. It returns an
// *administrator.ReplyError if the node refuses the request, CodePeerTimeout if the timeout expires first,
// CodePeerClosed if the connection fails and CodePeerInvalid if the response is malformed.
func (c *client) call(ctx context.Context, method, path string, body, target any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout.Duration())
	defer cancel()
	request, err := c.request(ctx, method, path, body)
	if err != nil {
		return err
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return c.transportError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes))
	if err != nil {
		return c.transportError(ctx, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return c.replyError(response.StatusCode, content)
	}
	if target == nil {
		return nil
	}
	if err := json.Unmarshal(content, target); err != nil {
		return classifier.Wrap(classifier.CodePeerInvalid, c.base, err)
	}
	return nil
}

func (c *client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var reader io.Reader = http.NoBody
	if body != nil {
		content, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		reader = bytes.NewReader(content)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, reader)
	if err != nil {
		return nil, &usageError{cause: err}
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	return request, nil
}

func (c *client) transportError(ctx context.Context, err error) error {
	code := classifier.CodePeerClosed
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		code = classifier.CodePeerTimeout
	}
	return classifier.Wrap(code, c.base, err)
}

func (c *client) replyError(status int, content []byte) error {
	var failure administrator.ReplyError
	if err := json.Unmarshal(content, &failure); err != nil || failure.Code == classifier.CodeOK {
		return classifier.New(classifier.CodePeerInvalid, c.base, "the node answered status %d without a result code", status)
	}
	return &failure
}
