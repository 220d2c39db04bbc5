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
)

// maxAnswerBytes bounds an answer of the platform; a list may hold many values.
const maxAnswerBytes = 64 << 20

// Client is a Platform over HTTP. A token bucket bounds its calls per second.
type Client struct {
	base    string
	client  *http.Client
	bucket  *rate.Limiter
	timeout timekeeper.Millis
}

// Options are the limits of a Client.
type Options struct {
	URL     string            // base address, such as http://127.0.0.1:7000
	Rate    float64           // calls per second
	Burst   int               // calls that may be made at once
	Timeout timekeeper.Millis // deadline of one call, without the wait of a watch
	// Dial opens connections; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewClient returns a client of the object API.
func NewClient(options Options) *Client {
	transport := &http.Transport{
		DialContext: options.Dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: (30 * timekeeper.Second).Duration(),
	}
	return &Client{
		base:    strings.TrimRight(options.URL, "/"),
		client:  &http.Client{Transport: transport},
		bucket:  rate.NewLimiter(rate.Limit(options.Rate), options.Burst),
		timeout: options.Timeout,
	}
}

// Get implements Platform.
func (c *Client) Get(ctx context.Context, kind, name string) (Object, error) {
	answer, err := c.call(ctx, http.MethodGet, objectPath(kind, name), nil, "", 0)
	if err != nil {
		return Object{}, err
	}
	if err := requireTag(kind, name, answer); err != nil {
		return Object{}, err
	}
	return Object{Kind: kind, Name: name, Revision: answer.revision, Value: answer.body}, nil
}

// List implements Platform.
func (c *Client) List(ctx context.Context, kind string) (Snapshot, error) {
	answer, err := c.call(ctx, http.MethodGet, kindPath(kind), nil, "", 0)
	if err != nil {
		return Snapshot{}, err
	}
	return decodeSnapshot(kind, answer.body)
}

// Put implements Platform.
func (c *Client) Put(ctx context.Context, object Object) (uint64, error) {
	if len(object.Value) > MaxValueBytes {
		return 0, classifier.New(classifier.CodeTooLarge, object.Kind+"/"+object.Name, "value has %d bytes, the limit is %d",
			len(object.Value), MaxValueBytes)
	}
	answer, err := c.call(ctx, http.MethodPut, objectPath(object.Kind, object.Name), object.Value,
		matchTag(object.Revision), 0)
	if err != nil {
		return 0, err
	}
	return answer.revision, requireTag(object.Kind, object.Name, answer)
}

// Delete implements Platform.
func (c *Client) Delete(ctx context.Context, kind, name string, revision uint64) error {
	_, err := c.call(ctx, http.MethodDelete, objectPath(kind, name), nil, matchTag(revision), 0)
	return err
}

// Watch implements Platform.
func (c *Client) Watch(ctx context.Context, kind string, after uint64, wait timekeeper.Millis) (Snapshot, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(after, 10))
	query.Set("wait", strconv.FormatInt(int64(wait), 10))
	answer, err := c.call(ctx, http.MethodGet, kindPath(kind)+"?"+query.Encode(), nil, "", wait)
	if err != nil {
		return Snapshot{}, err
	}
	return decodeSnapshot(kind, answer.body)
}

// answer is the part of a platform answer that callers use.
type answer struct {
	revision uint64
	body     []byte
}

func (c *Client) call(
	ctx context.Context, method, path string, body []byte, match string, wait timekeeper.Millis,
) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, (c.timeout + wait).Duration())
	defer cancel()
	if err := c.bucket.Wait(ctx); err != nil {
		return answer{}, classifier.Wrap(classifier.CodeRateLimited, path, err)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, classifier.Wrap(classifier.CodeUnavailable, path, err)
	}
	setMatch(request.Header, method, match)
	response, err := c.client.Do(request)
	if err != nil {
		return answer{}, classifier.Wrap(classifier.CodeUnavailable, path, err)
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return answer{}, classifier.Wrap(classifier.CodeUnavailable, path, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return answer{}, StatusError(response.StatusCode, path, content)
	}
	revision, err := readTag(response.Header.Get("ETag"))
	if err != nil {
		return answer{}, classifier.Wrap(classifier.CodePlatformReply, path, err)
	}
	return answer{revision: revision, body: content}, nil
}

// readTag returns the revision of an entity tag, or 0 if there is none.
func readTag(tag string) (uint64, error) {
	if tag == "" {
		return 0, nil
	}
	return strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
}

// requireTag refuses an answer without a revision, which a conditional update could not use.
func requireTag(kind, name string, reply answer) error {
	if reply.revision == 0 {
		return classifier.New(classifier.CodePlatformReply, kind+"/"+name, "the platform's answer has no revision")
	}
	return nil
}

func setMatch(header http.Header, method, match string) {
	switch {
	case method == http.MethodGet:
	case match == "":
		header.Set("If-None-Match", "*")
	default:
		header.Set("If-Match", match)
	}
}

// StatusError turns a status of an object API that is no success into an error with a 5xx code. The content gives the
// reason.
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

func matchTag(revision uint64) string {
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
