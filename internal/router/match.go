// Package router matches requests to configured calls and chooses the upstream that runs them.
package router

import (
	"net"
	"path"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
)

// Route is the call that a request matched. The pointers lead into the view and must not be written through.
type Route struct {
	Version uint64
	Account *compiler.Account
	Call    *compiler.Call
	Rank    *compiler.Rank
}

// Matcher keeps the index of the view it matched last. The zero value is ready for use by many goroutines.
type Matcher struct {
	current atomic.Pointer[index]
	mutex   sync.Mutex // held only while an index is built
}

var shared Matcher

// Match finds the call for a request in view with an index shared by the process. It fails with code 201 or 202.
func Match(view *compiler.View, host, method, path string) (Route, error) {
	return shared.Match(view, host, method, path)
}

// Match finds the call for a request in view. It fails with code 201 or 202.
func (m *Matcher) Match(view *compiler.View, host, method, path string) (Route, error) {
	found := m.current.Load()
	if found == nil || found.view != view {
		found = m.build(view)
	}
	return found.match(host, method, path)
}

// Account finds the client account of a host in view. It fails with code 201.
func (m *Matcher) Account(view *compiler.View, host string) (*compiler.Account, error) {
	found := m.current.Load()
	if found == nil || found.view != view {
		found = m.build(view)
	}
	account, err := found.find(host)
	if err != nil {
		return nil, err
	}
	return account.account, nil
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

// index holds one view's hosts and call paths in maps.
type index struct {
	view  *compiler.View
	hosts map[string]*hostIndex
}

type hostIndex struct {
	account *compiler.Account
	calls   map[callKey]Route
	longest int // bytes of the longest call path
}

type callKey struct{ method, path string }

func newIndex(view *compiler.View) *index {
	built := &index{view: view, hosts: make(map[string]*hostIndex, len(view.Accounts))}
	for i := range view.Accounts {
		account := &view.Accounts[i]
		host := &hostIndex{account: account, calls: make(map[callKey]Route, len(account.Calls))}
		for j := range account.Calls {
			call := &account.Calls[j]
			prefix := call.Path
			if call.Method != "" {
				prefix = trimSlash(prefix)
			}
			host.longest = max(host.longest, len(prefix))
			host.calls[callKey{call.Method, prefix}] = Route{
				Version: view.Version, Account: account, Call: call, Rank: account.Rank(call.Rank),
			}
		}
		built.hosts[strings.ToLower(account.Host)] = host
	}
	return built
}

func (x *index) find(host string) (*hostIndex, error) {
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
	found, err := x.find(host)
	if err != nil {
		return Route{}, err
	}
	route, ok := found.longestPrefix(method, target)
	if !ok {
		return Route{}, classifier.Refuse(classifier.CodeUnknownCall, found.account.Name, "no call matches %s %.200q",
			method, target)
	}
	// An upstream that resolves dot segments would run another call than the one that was matched.
	if prefix := trimSlash(target); route.Call.Method != "" && prefix != "" && path.Clean(prefix) != prefix {
		return Route{}, classifier.Refuse(classifier.CodeUnknownCall, found.account.Name, "path is not in its clean form")
	}
	return route, nil
}

// longestPrefix finds the call with the longest path that the target starts with.
func (h *hostIndex) longestPrefix(method, target string) (Route, bool) {
	prefix := target
	for {
		if len(prefix) <= h.longest+1 {
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
		cut := strings.LastIndexByte(prefix, '/')
		if cut < 0 {
			return Route{}, false
		}
		prefix = prefix[:cut+1]
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
