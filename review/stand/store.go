package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store: kinds of objects with one revision counter and a complete history.
type store struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]*storedObject // by kind and name
	history  []storedEvent
	changed  chan struct{}
}

type storedObject struct {
	Metadata map[string]any
	Spec     json.RawMessage
	Status   json.RawMessage
}

type storedEvent struct {
	kind     string
	revision uint64
	event    map[string]any
}

func newStore() *store {
	return &store{revision: 1, objects: map[string]*storedObject{}, changed: make(chan struct{})}
}

// put stores an object unconditionally, as the operator does.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	must(err)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.write(kind, name, text)
}

// write stores an object and records the event. The caller holds the lock.
func (s *store) write(kind, name string, spec json.RawMessage) *storedObject {
	s.revision++
	created := s.revision
	if old := s.objects[kind+"/"+name]; old != nil {
		created, _ = old.Metadata["CreateRevision"].(uint64)
	}
	o := &storedObject{Spec: spec, Status: json.RawMessage("null"), Metadata: map[string]any{
		"Name": name, "Revision": s.revision, "CreateRevision": created, "Finalizers": []string{}, "Deleting": false,
	}}
	s.objects[kind+"/"+name] = o
	s.history = append(s.history, storedEvent{kind, s.revision, map[string]any{"Deleted": false, "Object": o}})
	close(s.changed)
	s.changed = make(chan struct{})
	return o
}

// ServeHTTP serves the calls that nodes make.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	kind, name := parts[0], ""
	if len(parts) > 1 {
		name = parts[1]
	}
	if r.URL.Query().Get("Watch") != "" {
		s.watch(w, r, kind)
		return
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r.Method == http.MethodGet && name == "" {
		var names []string
		for key := range s.objects {
			if strings.HasPrefix(key, kind+"/") {
				names = append(names, key)
			}
		}
		sort.Strings(names)
		items := []*storedObject{}
		for _, key := range names {
			items = append(items, s.objects[key])
		}
		reply(w, 200, map[string]any{"items": items, "HasMore": false, "At": s.revision})
		return
	}
	var body struct {
		Metadata struct {
			Name     string
			Revision uint64
		}
		Spec json.RawMessage
	}
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			reply(w, 400, map[string]any{})
			return
		}
	}
	if name == "" {
		name = body.Metadata.Name
	}
	found := s.objects[kind+"/"+name]
	switch {
	case r.Method == http.MethodPost && found != nil:
		reply(w, 409, found)
	case r.Method == http.MethodPost:
		reply(w, 200, s.write(kind, name, body.Spec))
	case found == nil:
		reply(w, 404, map[string]any{})
	case r.Method == http.MethodPut && body.Metadata.Revision != 0 && body.Metadata.Revision != found.Metadata["Revision"]:
		reply(w, 409, found)
	case r.Method == http.MethodPut:
		reply(w, 200, s.write(kind, name, body.Spec))
	default:
		reply(w, 200, found)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		events := []any{}
		for _, e := range s.history {
			if e.kind == kind && e.revision > after {
				events = append(events, e.event)
			}
		}
		at, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, 200, map[string]any{"events": events, "At": at})
			return
		}
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	text, err := json.Marshal(value)
	must(err)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(text)
}
