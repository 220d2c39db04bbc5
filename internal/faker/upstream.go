package faker

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// UpstreamOptions describe an upstream server. The zero value answers at once without bounds.
type UpstreamOptions struct {
	Slots           int               // requests run at the same time; further ones are shed; 0 for no bound
	ColdStart       timekeeper.Millis // span after a start in which runs take ColdStartFactor longer
	ColdStartFactor int               // factor while cold
	Lag             timekeeper.Millis // how far the health endpoint lags behind the truth
	// Service is the time of one run; nil for none.
	Service func(r *http.Request) timekeeper.Millis
	// Crash tells which requests end the process; nil for none.
	Crash func(r *http.Request) bool
	// Answer writes the answer; nil for a short text.
	Answer func(w http.ResponseWriter, r *http.Request)
}

// Upstream is an upstream server as a handler. It counts the runs of each request id.
type Upstream struct {
	options  UpstreamOptions
	mutex    sync.Mutex
	runs     map[string]int
	ended    map[string]int
	running  int
	most     int
	shed     int
	started  time.Time
	draining bool
	changes  []change // of health, oldest first
	server   *http.Server
	crashed  chan struct{}
}

type change struct {
	at      time.Time
	healthy bool
}

// NewUpstream returns an upstream that starts now.
func NewUpstream(options UpstreamOptions) *Upstream {
	u := &Upstream{options: options, runs: make(map[string]int), ended: make(map[string]int)}
	u.begin()
	return u
}

func (u *Upstream) begin() {
	u.started, u.running, u.draining = time.Now(), 0, false
	u.changes = append(u.changes, change{u.started, true})
	u.crashed = make(chan struct{})
}

// Serve takes connections from listener until Crash or Close. A later Serve is a restart.
func (u *Upstream) Serve(listener net.Listener) {
	u.mutex.Lock()
	u.begin()
	server := &http.Server{Handler: u, ReadHeaderTimeout: time.Minute}
	u.server = server
	u.mutex.Unlock()
	_ = server.Serve(listener)
}

// Crash ends the server and all its connections at once, as the end of a process does.
func (u *Upstream) Crash() {
	u.mutex.Lock()
	server, crashed := u.server, u.crashed
	u.server = nil
	if server != nil {
		u.changes = append(u.changes, change{time.Now(), false})
		close(crashed)
	}
	u.mutex.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Drain sheds all new requests; running ones go on.
func (u *Upstream) Drain() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.draining = true
	u.changes = append(u.changes, change{time.Now(), false})
}

// Runs returns how often a request id was started.
func (u *Upstream) Runs(id string) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.runs[id]
}

// Ended returns how often a request id was run to its end.
func (u *Upstream) Ended(id string) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.ended[id]
}

// Totals returns the number of runs, the highest number of runs at the same time and the number of shed requests.
func (u *Upstream) Totals() (runs, most, shed int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for _, count := range u.runs {
		runs += count
	}
	return runs, u.most, u.shed
}

// Running returns the number of runs in progress.
func (u *Upstream) Running() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.running
}

// ServeHTTP runs a request, or answers a probe at /health. The id is the header Jasmine-Id.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		u.serveHealth(w)
		return
	}
	id := r.Header.Get("Jasmine-Id")
	crashed, admitted := u.start(id)
	if !admitted {
		w.Header().Set("Jasmine-Outcome", "notrun")
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer u.finish(crashed)
	if u.options.Crash != nil && u.options.Crash(r) {
		u.Crash()
		panic(http.ErrAbortHandler)
	}
	if !u.work(r, crashed) {
		panic(http.ErrAbortHandler)
	}
	u.mutex.Lock()
	u.ended[id]++
	u.mutex.Unlock()
	if u.options.Answer != nil {
		u.options.Answer(w, r)
		return
	}
	text := "ran " + id + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write([]byte(text))
}

func (u *Upstream) start(id string) (crashed chan struct{}, admitted bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.draining || u.options.Slots > 0 && u.running >= u.options.Slots {
		u.shed++
		return nil, false
	}
	u.runs[id]++
	u.running++
	u.most = max(u.most, u.running)
	return u.crashed, true
}

func (u *Upstream) finish(crashed chan struct{}) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if crashed == u.crashed {
		u.running--
	}
}

// work waits for the service time; false when the process crashed or the request was canceled.
func (u *Upstream) work(r *http.Request, crashed chan struct{}) bool {
	if u.options.Service == nil {
		return true
	}
	span := u.options.Service(r)
	u.mutex.Lock()
	if time.Since(u.started) < u.options.ColdStart.Duration() {
		span *= timekeeper.Millis(max(u.options.ColdStartFactor, 1))
	}
	u.mutex.Unlock()
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-crashed:
		return false
	case <-r.Context().Done():
		return false
	}
}

func (u *Upstream) serveHealth(w http.ResponseWriter) {
	u.mutex.Lock()
	healthy := false
	for _, c := range u.changes {
		if !c.at.After(time.Now().Add(-u.options.Lag.Duration())) {
			healthy = c.healthy
		}
	}
	u.mutex.Unlock()
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
