package runner

import (
	"slices"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
)

// homes answers which service runs a call and which data centres it has, from an index that is built once per view.
type homes struct {
	active func() *compiler.View
	index  atomic.Pointer[homeIndex]
}

// homeIndex is the index of one view.
type homeIndex struct {
	view     *compiler.View
	calls    map[callKey]string
	services map[string][]string
}

type callKey struct {
	account, call string
}

// service returns the service that runs a call, or "" for an unknown call.
func (h *homes) service(account, call string) string {
	return h.current().calls[callKey{account, call}]
}

// services returns the sorted data centres of each service.
func (h *homes) services() map[string][]string {
	return h.current().services
}

func (h *homes) current() *homeIndex {
	view := h.active()
	if index := h.index.Load(); index != nil && index.view == view {
		return index
	}
	index := buildHomes(view)
	h.index.Store(index)
	return index
}

func buildHomes(view *compiler.View) *homeIndex {
	index := &homeIndex{view: view, calls: make(map[callKey]string), services: make(map[string][]string)}
	if view == nil {
		return index
	}
	for _, service := range view.Services {
		index.services[service.Name] = slices.Sorted(slices.Values(service.Zones))
	}
	for _, account := range view.Accounts {
		for _, call := range account.Calls {
			index.calls[callKey{account.Name, call.Name}] = call.Service
		}
	}
	return index
}
