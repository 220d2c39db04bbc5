package connector

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"golang.org/x/time/rate"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/verifier"
)

// maxResponseBytes bounds a response of the platform; a list may hold many values.
const maxResponseBytes = 64 << 20

// Client implements Platform over HTTP. A token bucket limits its calls per second.
type Client struct {
	baseURL    string
	httpClient *http.Client
	limiter    *rate.Limiter
	timeout    timekeeper.Millis
}

// Options configure a Client.
type Options struct {
	URL     string            // base address, such as http://127.0.0.1:7000
	Rate    float64           // calls per second
	Burst   int               // calls that may be made at once
	Timeout timekeeper.Millis // timeout of one call; a watch adds its wait
	// Dial opens connections; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewClient returns a client of the object API.
func NewClient(options Options) *Client {
	transport := &http.Transport{
		DialContext: verifier.Dial(options.Dial), MaxIdleConnsPerHost: 4,
		IdleConnTimeout:        (30 * timekeeper.Second).Duration(),
		MaxResponseHeaderBytes: verifier.MaxHead,
	}
	return &Client{
		baseURL:    strings.TrimRight(options.URL, "/"),
		httpClient: &http.Client{Transport: &verifier.Transport{Next: transport}, CheckRedirect: RefuseRedirects},
		limiter:    rate.NewLimiter(rate.Limit(options.Rate), options.Burst),
		timeout:    options.Timeout,
	}
}

// RefuseRedirects is the CheckRedirect function of clients that follow no redirections, since these send a request with
// its body again.
func RefuseRedirects(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

// Get implements Platform.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	response, err := c.call(ctx, http.MethodGet, objectPath(kind, name), nil, "", 0)
	if err != nil {
		return Object{}, err
	}
	if err := requireRevision(kind, name, response); err != nil {
		return Object{}, err
	}
	return Object{Kind: kind, Name: name, Revision: response.revision, Value: response.body}, nil
}

// List implements Platform.
func (c *Client) List(ctx context.Context, kind string) (Snapshot, error) {
	response, err := c.call(ctx, http.MethodGet, kindPath(kind), nil, "", 0)
	if err != nil {
		return Snapshot{}, err
	}
	return decodeSnapshot(kind, response.body)
}

// Put implements Platform.
func (c *Client) Put(ctx context.Context, object Object) (uint64, error) {
	if len(object.Value) > MaxValueBytes {
		return 0, classifier.New(classifier.CodeTooLarge, object.Kind+"/"+object.Name, "value has %d bytes, the limit is %d",
			len(object.Value), MaxValueBytes)
	}
	response, err := c.call(ctx, http.MethodPut, objectPath(object.Kind, object.Name), object.Value,
		formatETag(object.Revision), 0)
	if err != nil {
		return 0, err
	}
	return response.revision, requireRevision(object.Kind, object.Name, response)
}

// Delete implements Platform.
func (c *Client) Delete(ctx context.Context, kind, name string, revision uint64) error {
	_, err := c.call(ctx, http.MethodDelete, objectPath(kind, name), nil, formatETag(revision), 0)
	return err
}

// Watch implements Platform.
func (c *Client) Watch(ctx context.Context, kind string, after uint64, wait timekeeper.Millis) (Snapshot, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait", strconv.FormatInt(int64(wait), 10))
	response, err := c.call(ctx, http.MethodGet, kindPath(kind)+"?"+query.Encode(), nil, "", wait)
	if err != nil {
		return Snapshot{}, err
	}
	return decodeSnapshot(kind, response.body)
}

// apiResponse holds the parts of a platform response that callers use.
type apiResponse struct {
	revision uint64
	body     []byte
}

func (c *Client) call(
	ctx context.Context, method, path string, body []byte, etag string, wait timekeeper.Millis,
) (apiResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, (c.timeout + wait).Duration())
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		return apiResponse{}, classifier.Wrap(classifier.CodeRateLimited, path, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return apiResponse{}, classifier.Wrap(classifier.CodeUnavailable, path, err)
	}
	setPrecondition(request.Header, method, etag)
	response, err := c.httpClient.Do(request)
	if err != nil {
		c.httpClient.CloseIdleConnections() // whatever silenced this connection may have silenced them, too
		return apiResponse{}, classifier.Wrap(classifier.CodeUnavailable, path, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return apiResponse{}, classifier.Wrap(classifier.CodeUnavailable, path, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return apiResponse{}, StatusError(response.StatusCode, path, content)
	}
	revision, err := parseETag(response.Header.Get("ETag"))
	if err != nil {
		return apiResponse{}, classifier.Wrap(classifier.CodePlatformReply, path, err)
	}
	return apiResponse{revision: revision, body: content}, nil
}

// parseETag returns the revision of an entity tag, or 0 if there is none.
func parseETag(tag string) (uint64, error) {
	if tag == "" {
		return 0, nil
	}
	return strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
}

// requireRevision returns an error for a response without a revision, because a conditional update needs the revision.
func requireRevision(kind, name string, response apiResponse) error {
	if response.revision == 0 {
		return classifier.New(classifier.CodePlatformReply, kind+"/"+name, "the platform's answer has no revision")
	}
	return nil
}

// setPrecondition makes a write conditional on the entity tag, or on the absence of the object if etag is empty.
func setPrecondition(header http.Header, method, etag string) {
	switch {
	case method == http.MethodGet:
	case etag == "":
		header.Set("If-None-Match", "*")
	default:
		header.Set("If-Match", etag)
	}
}

// StatusError converts an unsuccessful HTTP status of an object API to an error with a 5xx code. The reason of the
// error includes the start of content.
func StatusError(status int, path string, content []byte) error {
	reason := strings.TrimSpace(string(content[:min(len(content), 200)]))
	code := classifier.CodeUnavailable
	switch status {
	case http.StatusNotFound:
		code = classifier.CodeObjectMissing
	case http.StatusPreconditionFailed, http.StatusConflict:
		code = classifier.CodeConflict
	case http.StatusRequestEntityTooLarge:
		code = classifier.CodeTooLarge
	case http.StatusTooManyRequests:
		code = classifier.CodeRateLimited
	}
	return classifier.New(code, path, "platform answered %d: %s", status, reason)
}

func decodeSnapshot(kind string, content []byte) (Snapshot, error) {
	var snapshot Snapshot
	if err := json.Unmarshal(content, &snapshot); err != nil {
		return Snapshot{}, classifier.Wrap(classifier.CodePlatformReply, kind, err)
	}
	return snapshot, nil
}

// formatETag returns the entity tag of a revision, or an empty string for revision 0.
func formatETag(revision uint64) string {
	if revision == 0 {
		return ""
	}
	return `"` + strconv.FormatUint(revision, 10) + `"`
}

func kindPath(kind string) string {
	return "/v1/objects/" + url.PathEscape(kind)
}

func objectPath(kind, name string) string {
	return kindPath(kind) + "/" + url.PathEscape(name)
}
