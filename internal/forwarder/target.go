package forwarder

import (
	"net/http"
	"net/url"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// target is a request target in origin form (RFC 9112, 3.2.1): the bytes that select its route and are forwarded.
type target struct {
	path     string // begins with a slash
	query    string // without the question mark
	hasQuery bool   // also for an empty query
}

// targetOf returns the target of a received request as it was sent, without the authority of the absolute form. It
// fails with code 403 for a target that has no path or can be read in more than one way.
func targetOf(r *http.Request) (target, error) {
	sent := r.RequestURI
	if sent == "" { // the request was not received by a server
		sent = r.URL.RequestURI()
	}
	if strings.Contains(sent, "#") || r.URL.User != nil {
		return target{}, classifier.Refuse(classifier.CodeBadRequest, "target",
			"%.200q has a fragment or user information", sent)
	}
	if scheme, rest, ok := strings.Cut(sent, "://"); ok && r.URL.Host != "" && !strings.Contains(scheme, "/") {
		sent = strings.TrimLeftFunc(rest, func(c rune) bool { return c != '/' && c != '?' })
		if !strings.HasPrefix(sent, "/") {
			sent = "/" + sent // an empty path is sent as a slash (RFC 9112, 3.2.1)
		}
	}
	if !strings.HasPrefix(sent, "/") {
		return target{}, classifier.Refuse(classifier.CodeBadRequest, "target", "%.200q is not a path", sent)
	}
	t := target{}
	t.path, t.query, t.hasQuery = strings.Cut(sent, "?")
	if strings.HasPrefix(sent, "//") && t.url("").RequestURI() != sent {
		return target{}, classifier.Refuse(classifier.CodeBadRequest, "target", "%.200q cannot be passed on unchanged", sent)
	}
	return t, nil
}

// parseTarget returns the target that an entry node passed on.
func parseTarget(uri string) (target, error) {
	if _, err := url.ParseRequestURI(uri); err != nil {
		return target{}, classifier.Refuse(classifier.CodeBadRequest, "target", "%v", err)
	}
	return targetOf(&http.Request{RequestURI: uri, URL: &url.URL{}})
}

// String returns the target as it is sent.
func (t target) String() string {
	if !t.hasQuery {
		return t.path
	}
	return t.path + "?" + t.query
}

// url returns the URL of the target at a host. net/http escapes characters of a path, and sends an opaque part as it is
// unless it begins with two slashes.
func (t target) url(host string) *url.URL {
	u := &url.URL{Scheme: "http", Host: host, RawQuery: t.query, ForceQuery: t.hasQuery && t.query == ""}
	if !strings.HasPrefix(t.path, "//") {
		u.Opaque = t.path
		return u
	}
	if path, err := url.PathUnescape(t.path); err == nil {
		u.Path, u.RawPath = path, t.path
	}
	return u
}
