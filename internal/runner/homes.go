package runner

import (
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
)

// homes answers which data centres a call's service has, from an index that is built once per view.
type homes struct {
	active func() *compiler.View
	index  atomic.Pointer[homeIndex]
}

// homeIndex is the index of one view.
type homeIndex struct {
	view  *compiler.View
	calls map[callKey][]string
	lists [][]string
}

type callKey struct {
	account, call string
}

// zones returns the data centres of the service that runs a call, or nil for an unknown call.
func (h *homes) zones(account, call string) []string {
	return h.current().calls[callKey{account, call}]
}

// lists returns the lists of data centres of all services.
func (h *homes) lists() [][]string {
	return h.current().lists
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
	index := &homeIndex{view: view, calls: make(map[callKey][]string)}
	if view == nil {
		return index
	}
	for _, service := range view.Services {
		index.lists = append(index.lists, service.Zones)
	}
	for _, account := range view.Accounts {
		for _, call := range account.Calls {
			if service := view.Service(call.Service); service != nil {
				index.calls[callKey{account.Name, call.Name}] = service.Zones
			}
		}
	}
	return index
}
