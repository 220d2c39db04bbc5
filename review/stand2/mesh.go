//go:build review2

// Program stand2 plays the cases 6 to 10 of the review: it starts nodes of the project as separate processes, and is
// itself the platform's store, the servers, the clients and whoever disturbs them.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the pages.
const (
	headRequest  = "X-Jasmineproxy-Request-Id"
	headDeadline = "X-Jasmineproxy-Deadline-Ms"
	headStamp    = "X-Jasmineproxy-Server-Stamp"
	headExpect   = "X-Jasmineproxy-Expect-Instance"
	headNotRun   = "X-Jasmineproxy-Not-Run"
	headInstance = "X-Jasmineproxy-Instance-Id"
)

// record is the file record.txt of a case.
type record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(directory string) *record {
	file, err := os.Create(filepath.Join(directory, "record.txt"))
	if err != nil {
		unable(err)
	}
	return &record{file: file, start: time.Now()}
}

func (r *record) add(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f  ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", arguments...)
}

// say writes to the record and to the terminal.
func (r *record) say(format string, arguments ...any) {
	r.add(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// unable ends the program because the case cannot run.
func unable(err error) {
	fmt.Println("the case cannot run:", err)
	cleanUp()
	os.Exit(2)
}

var (
	cleaners      []func()
	cleanersMutex sync.Mutex
)

func atEnd(f func()) {
	cleanersMutex.Lock()
	defer cleanersMutex.Unlock()
	cleaners = append(cleaners, f)
}

func cleanUp() {
	cleanersMutex.Lock()
	defer cleanersMutex.Unlock()
	for i := len(cleaners) - 1; i >= 0; i-- {
		cleaners[i]()
	}
	cleaners = nil
}

var nextPort atomic.Int32

// freeAddress returns a loopback address whose port nobody listens at, below the ports of outgoing connections.
func freeAddress() string {
	for range 20000 {
		port := 10_000 + (os.Getpid()*97+int(nextPort.Add(1)))%20_000
		address := "127.0.0.1:" + strconv.Itoa(port)
		listener, err := net.Listen("tcp", address)
		if err == nil {
			_ = listener.Close()
			return address
		}
	}
	unable(fmt.Errorf("no free port"))
	return ""
}

// ---- the platform's store ----

type storedObject struct {
	Metadata struct {
		Name           string
		Revision       uint64
		CreateRevision uint64
		Finalizers     []string
		Deleting       bool
	}
	Spec   json.RawMessage `json:",omitempty"`
	Status json.RawMessage `json:",omitempty"`
}

type storeEvent struct {
	kind     string
	revision uint64
	object   storedObject
	deleted  bool
}

// store is the platform's metadata store in the form "objects".
type store struct {
	address  string
	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]*storedObject
	events   []storeEvent
	changed  chan struct{}
}

func startStore() *store {
	s := &store{
		address: freeAddress(), revision: 100, objects: make(map[string]map[string]*storedObject),
		changed: make(chan struct{}),
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		unable(err)
	}
	server := &http.Server{Handler: s}
	go func() { _ = server.Serve(listener) }()
	atEnd(func() { _ = server.Close() })
	return s
}

// put writes an object without a condition, as the operator does.
func (s *store) put(kind, name string, spec []byte) uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.write(kind, name, func(o *storedObject) { o.Spec = spec }).Metadata.Revision
}

func (s *store) write(kind, name string, change func(o *storedObject)) storedObject {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]*storedObject)
	}
	o := s.objects[kind][name]
	s.revision++
	if o == nil {
		o = &storedObject{}
		o.Metadata.Name, o.Metadata.CreateRevision = name, s.revision
		s.objects[kind][name] = o
	}
	change(o)
	o.Metadata.Revision = s.revision
	s.record(kind, *o, false)
	return *o
}

func (s *store) record(kind string, o storedObject, deleted bool) {
	s.events = append(s.events, storeEvent{kind, s.revision, o, deleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if value != nil {
		_ = json.NewEncoder(w).Encode(value)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.Split(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	kind, name, status := path[0], "", len(path) == 3
	if len(path) > 1 {
		name = path[1]
	}
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.mutex.Lock()
		items := []storedObject{}
		for _, o := range s.objects[kind] {
			items = append(items, *o)
		}
		at := s.revision
		s.mutex.Unlock()
		reply(w, 200, map[string]any{"items": items, "HasMore": false, "At": at})
	case r.Method == http.MethodGet:
		s.mutex.Lock()
		o := s.objects[kind][name]
		var found storedObject
		if o != nil {
			found = *o
		}
		s.mutex.Unlock()
		if o == nil {
			reply(w, 404, nil)
			return
		}
		reply(w, 200, found)
	default:
		var body storedObject
		if content, _ := io.ReadAll(r.Body); len(content) > 0 && json.Unmarshal(content, &body) != nil {
			reply(w, 400, nil)
			return
		}
		s.change(w, r, kind, name, status, &body)
	}
}

func (s *store) change(w http.ResponseWriter, r *http.Request, kind, name string, status bool, body *storedObject) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	known := s.objects[kind][name]
	condition := body.Metadata.Revision
	if text := r.URL.Query().Get("Revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	switch {
	case r.Method == http.MethodPost && known != nil:
		reply(w, 409, *known)
	case r.Method != http.MethodPost && known == nil:
		reply(w, 404, nil)
	case known != nil && condition != 0 && condition != known.Metadata.Revision:
		reply(w, 409, *known)
	case r.Method == http.MethodDelete:
		s.revision++
		delete(s.objects[kind], name)
		s.record(kind, *known, true)
		reply(w, 200, *known)
	default:
		reply(w, 200, s.write(kind, name, func(o *storedObject) {
			if status {
				o.Status = body.Status
			} else {
				o.Spec = body.Spec
			}
		}))
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for over := false; ; {
		s.mutex.Lock()
		events := []map[string]any{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				events = append(events, map[string]any{"Object": e.object, "Deleted": e.deleted})
			}
		}
		at, changed := s.revision, s.changed
		s.mutex.Unlock()
		if len(events) > 0 || over {
			reply(w, 200, map[string]any{"events": events, "At": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// ---- nodes ----

// node is a process of the project.
type node struct {
	name, zone, service, directory                string
	caller, peer, admin, upstream, ready, control string
	settings                                      string
	mutex                                         sync.Mutex
	command                                       *exec.Cmd
	ended                                         chan struct{}
	starts                                        int
}

// machine holds the settings that differ between cases.
type machine struct {
	memory, files int
	link          float64
	heartbeat     float64
	extra         string // further lines of the section hosted
}

// newNode returns a node with the settings that deploy/settings.yaml gives it.
func newNode(s *store, directory, name, zone, service string, m machine) *node {
	n := &node{
		name: name, zone: zone, service: service, directory: directory, caller: freeAddress(), peer: freeAddress(),
		admin: freeAddress(), upstream: freeAddress(), ready: freeAddress(), control: freeAddress(),
	}
	n.settings = filepath.Join(directory, name+".yaml")
	text := fmt.Sprintf(`name: %s
zone: %s
service: %s
caller: %s
peer: %s
admin: %s
upstream: {address: "%s" }
platform: {url: "http://%s", timeout: 1500}
hosted:
  ready: "%s"
  control: "%s"
  heartbeat: %g
  apply: 2
  grace: 6
  retries: 0.2
  memory: %d
  files: %d
  link: %g
%sbody: 67108864
`, name, zone, service, n.caller, n.peer, n.admin, n.upstream, s.address, n.ready, n.control, m.heartbeat, m.memory,
		m.files, m.link, m.extra)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
		unable(err)
	}
	atEnd(n.kill)
	return n
}

// start runs the command of deploy/system.toml.
func (n *node) start() {
	log, err := os.OpenFile(filepath.Join(n.directory, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable(err)
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.command = exec.Command("target/jasmineproxy", "node", "--settings", n.settings)
	n.command.Stdout, n.command.Stderr = log, log
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := n.command.Start(); err != nil {
		unable(err)
	}
	n.ended = make(chan struct{})
	n.starts++
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		_ = log.Close()
		close(ended)
	}(n.command, n.ended)
}

// signal sends a signal to the process if it runs.
func (n *node) signal(s os.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.command != nil && n.running() {
		_ = n.command.Process.Signal(s)
	}
}

func (n *node) running() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

func (n *node) kill() {
	n.signal(os.Kill)
	n.mutex.Lock()
	ended := n.ended
	n.mutex.Unlock()
	if ended != nil {
		<-ended
	}
}

// memory returns a field of /proc/PID/status in MB.
func (n *node) memory(field string) float64 {
	content, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.command.Process.Pid))
	for _, line := range strings.Split(string(content), "\n") {
		if words := strings.Fields(line); len(words) > 1 && words[0] == field+":" {
			kilobytes, _ := strconv.ParseFloat(words[1], 64)
			return kilobytes * 1024 / 1e6
		}
	}
	return 0
}

// isReady asks the node as the platform does, once.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes say that they are ready.
func awaitReady(nodes ...*node) {
	end := time.Now().Add(20 * time.Second)
	for _, n := range nodes {
		for !n.isReady() {
			if time.Now().After(end) {
				unable(fmt.Errorf("node %s is not ready", n.name))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// ---- servers ----

// run is the start of a request at a server.
type run struct {
	id, instance, service, path string
	at                          time.Time
}

// server is an application server beside a node.
type server struct {
	id, service, version string
	node                 *node
	slots                chan struct{}
	work                 func(r *http.Request) time.Duration
	body                 func(r *http.Request) []byte
	heartbeat            time.Duration
	born                 int64
	sequence             atomic.Uint64
	leaving, silent      atomic.Bool
	onRun                func(run)
	http                 *http.Server
	ended                chan struct{}
}

func startServer(n *node, id string, slots int, heartbeat time.Duration, onRun func(run)) *server {
	s := &server{
		id: id, service: n.service, version: "v1", node: n, slots: make(chan struct{}, slots), heartbeat: heartbeat,
		born: time.Now().UnixMilli(), onRun: onRun, ended: make(chan struct{}),
		work: func(*http.Request) time.Duration { return 20 * time.Millisecond },
		body: func(r *http.Request) []byte { return []byte("answer to " + r.Header.Get(headRequest)) },
	}
	listener, err := net.Listen("tcp", n.upstream)
	if err != nil {
		unable(err)
	}
	s.http = &http.Server{Handler: s, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(listener) }()
	go s.sendHeartbeats()
	atEnd(s.end)
	return s
}

func (s *server) end() {
	select {
	case <-s.ended:
		return
	default:
	}
	close(s.ended)
	_ = s.http.Close()
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set(headInstance, s.id)
		if s.leaving.Load() {
			w.WriteHeader(503)
		}
		return
	}
	id := r.Header.Get(headRequest)
	w.Header().Set(headRequest, id)
	if expected := r.Header.Get(headExpect); expected != "" && expected != s.id {
		w.Header().Set(headInstance, s.id)
		w.WriteHeader(421)
		return
	}
	deadline, err := strconv.Atoi(r.Header.Get(headDeadline))
	if id == "" || err != nil {
		w.Header().Set(headNotRun, "1")
		w.WriteHeader(400)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(deadline)*time.Millisecond)
	defer cancel()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	select {
	case s.slots <- struct{}{}:
	case <-ctx.Done():
		w.Header().Set(headNotRun, "1")
		w.WriteHeader(503)
		return
	}
	defer func() { <-s.slots }()
	s.onRun(run{id, s.id, s.service, r.URL.Path, time.Now()})
	w.Header().Set(headStamp, "stamp-"+s.id)
	select {
	case <-time.After(s.work(r)):
	case <-ctx.Done():
		w.WriteHeader(504)
		return
	}
	_, _ = w.Write(s.body(r))
}

func (s *server) sendHeartbeats() {
	for {
		if !s.silent.Load() {
			s.beat("ready", s.sequence.Add(1), s.born)
		}
		select {
		case <-s.ended:
			return
		case <-time.After(s.heartbeat):
		}
	}
}

// beat sends a ping, without the field born if that is 0, and returns the status of the answer.
func (s *server) beat(state string, sequence uint64, born int64) int {
	fields := map[string]any{
		"Service": s.service, "Address": s.node.upstream, "Zone": s.node.zone, "Version": s.version,
		"Slots": cap(s.slots), "State": state, "ColdRemainingS": 0, "Sequence": sequence,
	}
	if born != 0 {
		fields["born"] = born
	}
	body, _ := json.Marshal(fields)
	return s.call(http.MethodPut, body)
}

// leave deregisters the server and returns the status of the answer.
func (s *server) leave() int {
	body, _ := json.Marshal(map[string]any{"born": s.born})
	return s.call(http.MethodDelete, body)
}

var controlClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (s *server) call(method string, body []byte) int {
	request, err := http.NewRequest(method, "http://"+s.node.control+"/api/instances/"+s.id,
		strings.NewReader(string(body)))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := controlClient.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// ---- clients ----

// answer is what a client got; status 0 stands for no complete answer.
type answer struct {
	status int
	body   string
	err    error
}

// request sends one attempt of a client on a connection of its own.
func request(method, address, host, path, id string, wait time.Duration, header map[string]string, body string) answer {
	client := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	r, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	if body == "" {
		r.Body = http.NoBody
	}
	r.Host = host
	r.Header.Set(headRequest, id)
	r.Header.Set(headDeadline, strconv.Itoa(int(wait.Milliseconds())))
	for name, value := range header {
		r.Header.Set(name, value)
	}
	response, err := client.Do(r)
	if err != nil {
		return answer{err: err}
	}
	content, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, body: string(content)}
}

// configuration returns an operator's configuration with two routes of one service: /safe/ and /unsafe/.
func configuration(version int, service, tenants string) []byte {
	return []byte(fmt.Sprintf(`{"Version":"%08x","Services":[{"Name":"%s","HealthPath":"/health","MaxConnections":130,`+
		`"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,`+
		`"IdleTimeoutS":15},%s"VirtualHosts":[{"Hostname":"one.example","Paths":[`+
		`{"Name":"r-safe","PathPrefix":"/safe/","Kind":"safe","TimeoutS":1.5,"TargetLatencyS":0.5,"Priority":1,`+
		`"Service":"%s","MaxAttempts":2},`+
		`{"Name":"r-unsafe","PathPrefix":"/unsafe/","Kind":"unsafe","TimeoutS":2,"TargetLatencyS":1.2,"Priority":2,`+
		`"Service":"%s","MaxAttempts":2}]}]}`, version, service, tenants, service, service))
}
