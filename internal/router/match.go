// Package router matches requests to configured calls and chooses the upstream that runs them.
package router

import (
	"net"
	"net/url"
	"path"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
)

// Route is the call that a request matched. Its pointers refer to data of the view, which callers must not modify.
type Route struct {
	Version uint64
	Account *compiler.Account
	Call    *compiler.Call
	Rank    *compiler.Rank
}

// Matcher matches requests to calls and caches the index of the last view. The zero value is ready for concurrent use.
type Matcher struct {
	current atomic.Pointer[index]
	mutex   sync.Mutex // held only while an index is built
}

var sharedMatcher Matcher

// Match finds the call for a request in view, using an index that the process shares. It fails with code 201 for an
// unknown host name and 202 for an unknown call.
func Match(view *compiler.View, host, method, path string) (Route, error) {
	return sharedMatcher.Match(view, host, method, path)
}

// Match finds the call for a request in view. The path is the one that is forwarded, as it was sent: an encoded slash
// ends no segment. It fails with code 201 for an unknown host name and 202 for an unknown call.
func (m *Matcher) Match(view *compiler.View, host, method, path string) (Route, error) {
	found := m.current.Load()
	if found == nil || found.view != view {
		found = m.build(view)
	}
	return found.match(host, method, path)
}

// Client finds the client account that has a key. It fails with code 227 for a missing or unknown key.
func (m *Matcher) Client(view *compiler.View, key string) (*compiler.Client, error) {
	found := m.current.Load()
	if found == nil || found.view != view {
		found = m.build(view)
	}
	if key != "" {
		if client := found.clients[compiler.DigestOfKey(key)]; client != nil {
			return client, nil
		}
	}
	return nil, classifier.Refuse(classifier.CodeUnknownKey, "key", "no client account has this key")
}

// Account finds the client account with a host name in view. It fails with code 201 for an unknown host name.
func (m *Matcher) Account(view *compiler.View, host string) (*compiler.Account, error) {
	found := m.current.Load()
	if found == nil || found.view != view {
		found = m.build(view)
	}
	matched, err := found.findHost(host)
	if err != nil {
		return nil, err
	}
	return matched.account, nil
}

func (m *Matcher) build(view *compiler.View) *index {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if found := m.current.Load(); found != nil && found.view == view {
		return found
	}
	built := newIndex(view)
	m.current.Store(built)
	return built
}

// index maps the host names and call paths of one view.
type index struct {
	view    *compiler.View
	hosts   map[string]*hostIndex
	clients map[compiler.KeyDigest]*compiler.Client
}

// hostIndex maps the call paths of one host name, without a final slash for calls with a method.
type hostIndex struct {
	account     *compiler.Account
	calls       map[callKey]Route
	longestPath int // length of the longest call path in bytes
}

type callKey struct{ method, path string }

func newIndex(view *compiler.View) *index {
	built := &index{view: view, hosts: make(map[string]*hostIndex, len(view.Accounts))}
	for i := range view.Accounts {
		account := &view.Accounts[i]
		host := &hostIndex{account: account, calls: make(map[callKey]Route, len(account.Calls))}
		// Callers send a path as it is configured, which comes first, or escape it.
		for _, form := range [...]func(string) string{escapePath, func(path string) string { return path }} {
			for j := range account.Calls {
				call := &account.Calls[j]
				host.add(form(call.Path), Route{
					Version: view.Version, Account: account, Call: call, Rank: account.Rank(call.Rank),
				})
			}
		}
		built.hosts[strings.ToLower(account.Host)] = host
	}
	if len(view.Clients) > 0 {
		built.clients = make(map[compiler.KeyDigest]*compiler.Client, len(view.Clients))
	}
	for i := range view.Clients {
		for _, digest := range view.Clients[i].Keys {
			built.clients[digest] = &view.Clients[i]
		}
	}
	return built
}

// add maps a path of a call to its route.
func (h *hostIndex) add(prefix string, route Route) {
	if route.Call.Method != "" {
		prefix = trimSlash(prefix)
	}
	h.longestPath = max(h.longestPath, len(prefix))
	h.calls[callKey{route.Call.Method, prefix}] = route
}

func (x *index) findHost(host string) (*hostIndex, error) {
	found := x.hosts[host]
	if found == nil {
		found = x.hosts[hostName(host)]
	}
	if found == nil {
		return nil, classifier.Refuse(classifier.CodeUnknownHost, host, "no client account has this host")
	}
	return found, nil
}

func (x *index) match(host, method, target string) (Route, error) {
	found, err := x.findHost(host)
	if err != nil {
		return Route{}, err
	}
	route, ok := found.longestPrefix(method, target)
	if !ok {
		return Route{}, classifier.Refuse(classifier.CodeUnknownCall, found.account.Name, "no call matches %s %.200q",
			method, target)
	}
	// An upstream that resolves dot segments would run a call other than the matched one.
	if route.Call.Method != "" && hasDotSegments(target) {
		return Route{}, classifier.Refuse(classifier.CodeUnknownCall, found.account.Name,
			"path contains empty or dot segments")
	}
	return route, nil
}

// hasDotSegments reports whether a path has empty segments, or dot segments for an upstream that decodes it first.
func hasDotSegments(target string) bool {
	if prefix := trimSlash(target); prefix != "" && path.Clean(prefix) != prefix {
		return true
	}
	decoded, err := url.PathUnescape(target)
	if err != nil {
		return true
	}
	for segment := range strings.SplitSeq(decoded, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

// escapePath returns a configured path in the form in which requests have it.
func escapePath(configured string) string {
	parsed, err := url.ParseRequestURI(configured)
	if err != nil {
		return configured
	}
	return parsed.EscapedPath()
}

// longestPrefix finds the call whose path is the longest prefix of target at a segment boundary.
func (h *hostIndex) longestPrefix(method, target string) (Route, bool) {
	prefix := target
	for {
		if len(prefix) <= h.longestPath+1 {
			if strings.HasSuffix(prefix, "/") {
				if route, ok := h.calls[callKey{"", prefix}]; ok && route.Rank != nil {
					return route, true
				}
				prefix = prefix[:len(prefix)-1]
			}
			if route, ok := h.calls[callKey{method, prefix}]; ok && route.Rank != nil {
				return route, true
			}
		} else {
			prefix = trimSlash(prefix)
		}
		slash := strings.LastIndexByte(prefix, '/')
		if slash < 0 {
			return Route{}, false
		}
		prefix = prefix[:slash+1]
	}
}

func trimSlash(path string) string {
	return strings.TrimSuffix(path, "/")
}

// hostName returns a Host header's name in lower case, without port and final dot.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
