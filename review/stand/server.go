package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// server is a sound application server: it runs requests in slots, queues a few, sheds the rest, echoes ids, and drops a
// request when its connection closes. Hooks change the answer of a request or how it ends.
type server struct {
	id, service string
	address     string
	node        *node
	slots       chan struct{}
	waiting     atomic.Int64
	sequence    atomic.Uint64
	born        int64
	draining    atomic.Bool
	stopped     chan struct{}
	work        time.Duration
	// after, if it is set, is called at the end of a run in place of the answer; false lets the server answer.
	after atomic.Value // func(w http.ResponseWriter, id string) bool
	http  *http.Server
}

// run is the start of a request at a server.
type run struct {
	id, server, method, path string
	at                       time.Time
}

var (
	runsMutex sync.Mutex
	runs      = map[string][]run{}
)

func addRun(r run) int {
	runsMutex.Lock()
	defer runsMutex.Unlock()
	runs[r.id] = append(runs[r.id], r)
	return len(runs[r.id])
}

// newServer listens on a free loopback address.
func newServer(id, service string, slots int, work time.Duration) *server {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s := &server{
		id: id, service: service, address: listener.Addr().String(), slots: make(chan struct{}, slots), work: work,
		born: time.Now().UnixMilli(), stopped: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	return s
}

// beat sends a ping every heartbeatS until the server stops.
func (s *server) beat() {
	for {
		s.ping()
		select {
		case <-s.stopped:
			return
		case <-time.After(time.Duration(heartbeatS * float64(time.Second))):
		}
	}
}

func (s *server) ping() bool {
	state := "ready"
	if s.draining.Load() {
		state = "draining"
	}
	sequence := s.sequence.Add(1)
	acknowledged := ping(s.node.control, http.MethodPut, s.id, map[string]any{
		"Service": s.service, "Address": s.address, "Zone": s.node.zone, "Version": "v1", "Slots": cap(s.slots),
		"State": state, "ColdRemainingS": 0, "Sequence": sequence, "born": s.born,
	})
	record.add("server %s: ping %d %s to %s, acknowledged %v", s.id, sequence, state, s.node.name, acknowledged)
	return acknowledged
}

func (s *server) stop() {
	close(s.stopped)
	_ = s.http.Close()
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Jasmineproxy-Instance-Id", s.id)
		if s.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Jasmineproxy-Request-Id")
	w.Header().Set("X-Jasmineproxy-Request-Id", id)
	if expected := r.Header.Get("X-Jasmineproxy-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Jasmineproxy-Instance-Id", s.id)
		record.add("server %s: %s %s %s expects %s, 421", s.id, r.Method, r.RequestURI, id, expected)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	deadline, err := strconv.Atoi(r.Header.Get("X-Jasmineproxy-Deadline-Ms"))
	if id == "" || err != nil {
		shed(w, http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	end := time.After(time.Duration(deadline) * time.Millisecond)
	if s.waiting.Add(1) > int64(5*cap(s.slots)) {
		s.waiting.Add(-1)
		shed(w, http.StatusServiceUnavailable)
		return
	}
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-end:
		shed(w, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	count := addRun(run{id, s.id, r.Method, r.RequestURI, time.Now()})
	record.add("server %s: runs %s %s %s, run %d of this id", s.id, r.Method, r.RequestURI, id, count)
	w.Header().Set("X-Jasmineproxy-Server-Stamp", s.id+"."+id)
	select {
	case <-time.After(s.work):
	case <-end:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	if after, ok := s.after.Load().(func(http.ResponseWriter, string) bool); ok && after(w, id) {
		return
	}
	fmt.Fprintf(w, "%s %s %d", id, r.RequestURI, len(body))
}

func shed(w http.ResponseWriter, status int) {
	w.Header().Set("X-Jasmineproxy-Not-Run", "1")
	w.WriteHeader(status)
}
