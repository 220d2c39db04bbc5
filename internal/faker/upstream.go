package faker

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// UpstreamOptions are the properties of an upstream. The zero value responds at once and has no limits.
type UpstreamOptions struct {
	Slots           int               // requests that run concurrently; more are shed; 0 for no limit
	ColdStart       timekeeper.Millis // time after a start in which runs take ColdStartFactor times as long
	ColdStartFactor int               // factor of the service time during ColdStart
	Lag             timekeeper.Millis // delay until the health endpoint shows a change
	// ServiceTime returns the service time of a request; nil for none.
	ServiceTime func(r *http.Request) timekeeper.Millis
	// Crash reports whether a request crashes the process; nil for none.
	Crash func(r *http.Request) bool
	// Answer writes the response; nil for a short text.
	Answer func(w http.ResponseWriter, r *http.Request)
}

// Upstream is an HTTP handler that simulates an upstream server. It counts the runs of each request id.
type Upstream struct {
	options       UpstreamOptions
	mutex         sync.Mutex
	runs          map[string]int // started runs by request id
	completed     map[string]int // completed runs by request id
	running       int            // runs in progress since the last start
	maxRunning    int            // highest value of running so far
	shed          int            // requests shed so far
	started       time.Time
	draining      bool
	healthChanges []healthChange // oldest first
	server        *http.Server
	crashed       chan struct{} // closed by Crash, replaced by a new channel at each start
}

// healthChange records the time at which the server became healthy or unhealthy.
type healthChange struct {
	at      time.Time
	healthy bool
}

// NewUpstream returns an upstream whose cold start begins now.
func NewUpstream(options UpstreamOptions) *Upstream {
	u := &Upstream{options: options, runs: make(map[string]int), completed: make(map[string]int)}
	u.markStarted()
	return u
}

// markStarted resets the state that a restart of the process loses.
func (u *Upstream) markStarted() {
	u.started, u.running, u.draining = time.Now(), 0, false
	u.healthChanges = append(u.healthChanges, healthChange{u.started, true})
	u.crashed = make(chan struct{})
}

// Serve accepts connections until listener is closed or Crash is called. A later call of Serve simulates a restart.
func (u *Upstream) Serve(listener net.Listener) {
	u.mutex.Lock()
	u.markStarted()
	server := &http.Server{Handler: u, ReadHeaderTimeout: time.Minute}
	u.server = server
	u.mutex.Unlock()
	_ = server.Serve(listener)
}

// Crash closes the server and all its connections at once, as a crashed process does.
func (u *Upstream) Crash() {
	u.mutex.Lock()
	server, crashed := u.server, u.crashed
	u.server = nil
	if server != nil {
		u.healthChanges = append(u.healthChanges, healthChange{time.Now(), false})
		close(crashed)
	}
	u.mutex.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Drain sheds all new requests. Running requests complete.
func (u *Upstream) Drain() {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.draining = true
	u.healthChanges = append(u.healthChanges, healthChange{time.Now(), false})
}

// Runs returns the number of started runs of a request id.
func (u *Upstream) Runs(id string) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.runs[id]
}

// Completed returns the number of completed runs of a request id.
func (u *Upstream) Completed(id string) int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.completed[id]
}

// Totals returns the number of started runs, the highest number of concurrent runs and the number of shed requests.
func (u *Upstream) Totals() (runs, maxRunning, shed int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	for _, count := range u.runs {
		runs += count
	}
	return runs, u.maxRunning, u.shed
}

// Running returns the number of runs in progress.
func (u *Upstream) Running() int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return u.running
}

// ServeHTTP runs a request, or responds to a health check at /health. The header Jasmine-Id holds the request id.
func (u *Upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		u.serveHealth(w)
		return
	}
	id := r.Header.Get("Jasmine-Id")
	crashed, admitted := u.start(id)
	if !admitted {
		w.Header().Set("Jasmine-Outcome", "notrun")
		w.Header().Set("Jasmine-Id", id)
		http.Error(w, "shed", http.StatusServiceUnavailable)
		return
	}
	defer u.finish(crashed)
	if u.options.Crash != nil && u.options.Crash(r) {
		u.Crash()
		panic(http.ErrAbortHandler)
	}
	if !u.awaitServiceTime(r, crashed) {
		panic(http.ErrAbortHandler)
	}
	u.mutex.Lock()
	u.completed[id]++
	u.mutex.Unlock()
	if u.options.Answer != nil {
		u.options.Answer(w, r)
		return
	}
	text := "ran " + id + "\n"
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = w.Write([]byte(text))
}

// start counts a new run and returns the channel that is closed if the upstream crashes. It sheds the request if the
// upstream is draining or has no free slot.
func (u *Upstream) start(id string) (crashed chan struct{}, admitted bool) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if u.draining || u.options.Slots > 0 && u.running >= u.options.Slots {
		u.shed++
		return nil, false
	}
	u.runs[id]++
	u.running++
	u.maxRunning = max(u.maxRunning, u.running)
	return u.crashed, true
}

// finish ends a run. If the upstream has restarted since the run began, the restart has already reset running.
func (u *Upstream) finish(crashed chan struct{}) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	if crashed == u.crashed {
		u.running--
	}
}

// awaitServiceTime waits for the service time. It returns false if the process crashed or the request was canceled.
func (u *Upstream) awaitServiceTime(r *http.Request, crashed chan struct{}) bool {
	if u.options.ServiceTime == nil {
		return true
	}
	duration := u.options.ServiceTime(r)
	u.mutex.Lock()
	if time.Since(u.started) < u.options.ColdStart.Duration() {
		duration *= timekeeper.Millis(max(u.options.ColdStartFactor, 1))
	}
	u.mutex.Unlock()
	timer := time.NewTimer(duration.Duration())
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
	for _, c := range u.healthChanges {
		if !c.at.After(time.Now().Add(-u.options.Lag.Duration())) {
			healthy = c.healthy
		}
	}
	u.mutex.Unlock()
	if !healthy {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
