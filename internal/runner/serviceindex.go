package runner

import (
	"slices"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
)

// serviceIndex looks up the service of a call and the data centres of each service. The index is built once per view.
type serviceIndex struct {
	active func() *compiler.View
	index  atomic.Pointer[viewIndex]
}

// viewIndex is the index of one view.
type viewIndex struct {
	view     *compiler.View
	services map[callKey]string
	zones    map[string][]string // sorted data centres by service
}

type callKey struct {
	account, call string
}

// serviceOf returns the service that runs a call, or "" for an unknown call.
func (s *serviceIndex) serviceOf(account, call string) string {
	return s.current().services[callKey{account, call}]
}

// zones returns the sorted data centres of each service.
func (s *serviceIndex) zones() map[string][]string {
	return s.current().zones
}

// current returns the index of the active view and builds it when the view has changed.
func (s *serviceIndex) current() *viewIndex {
	view := s.active()
	if index := s.index.Load(); index != nil && index.view == view {
		return index
	}
	index := newViewIndex(view)
	s.index.Store(index)
	return index
}

func newViewIndex(view *compiler.View) *viewIndex {
	index := &viewIndex{view: view, services: make(map[callKey]string), zones: make(map[string][]string)}
	if view == nil {
		return index
	}
	for _, service := range view.Services {
		index.zones[service.Name] = slices.Sorted(slices.Values(service.Zones))
	}
	for _, account := range view.Accounts {
		for _, call := range account.Calls {
			index.services[callKey{account.Name, call.Name}] = call.Service
		}
	}
	return index
}
