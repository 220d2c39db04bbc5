// Package prober monitors the local upstream by HTTP GET on its probe path. Health endpoints may lag or be
// wrong, so probes only supplement the evidence of failed calls.
package prober

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/verifier"
)

const (
	defaultInterval = timekeeper.Second
	// defaultTimeout is many times the usual 6 ms of a probe, since a busy upstream responds slowly.
	defaultTimeout timekeeper.Millis = 500
	// maxProbeBytes is the maximum number of bytes read from the body of a probe's response.
	maxProbeBytes = 4 << 10
)

// Options configures a Prober.
type Options struct {
	URL      string            // URL to probe, such as http://127.0.0.1:9000/health
	Interval timekeeper.Millis // time between probes, in ms; 0 for the default
	Timeout  timekeeper.Millis // timeout of a probe, in ms; 0 for the default
	Logger   *zap.Logger
	Dial     func(ctx context.Context, network, address string) (net.Conn, error) // nil for TCP
	Changed  func(alive bool)                                                     // called when Alive changes; may be nil
	// Responded is called with the header of each response to a probe and the time since the probe was sent, in ms; may
	// be nil.
	Responded func(header http.Header, elapsed timekeeper.Millis)
}

// Prober keeps one open connection to the upstream. When the upstream's process ends, the kernel closes that
// connection, so a lost connection reveals a restart even if the next probe succeeds.
type Prober struct {
	options        Options
	client         *http.Client
	transport      *http.Transport
	alive          atomic.Bool
	restarts       atomic.Uint64
	connectionLost atomic.Bool // the upstream closed the open connection
	closeAnnounced atomic.Bool // the last response announced that its connection closes
	mutex          sync.Mutex  // allows one probe at a time
	seenAlive      bool        // a probe succeeded since the last end of the process; under mutex

	ignoreRestarts bool // no restart is counted; set by tests only
}

// New returns a prober that reports the upstream as not alive until the first successful probe.
func New(options Options) *Prober {
	if options.Interval <= 0 {
		options.Interval = defaultInterval
	}
	if options.Timeout <= 0 {
		options.Timeout = defaultTimeout
	}
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	p := &Prober{options: options}
	p.transport = &http.Transport{
		DialContext: p.dial, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, MaxResponseHeaderBytes: verifier.MaxHead,
	}
	p.client = &http.Client{
		Transport: &verifier.Transport{Next: p.transport}, Timeout: options.Timeout.Duration(),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return p
}

// Run probes at each interval until ctx ends. It returns nil.
func (p *Prober) Run(ctx context.Context) error {
	defer p.transport.CloseIdleConnections()
	ticker := time.NewTicker(p.options.Interval.Duration())
	defer ticker.Stop()
	for {
		p.Check(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Alive reports whether the last probe succeeded.
func (p *Prober) Alive() bool {
	return p.alive.Load()
}

// Restarts returns how often the prober detected the end of the upstream's process, whether or not it restarted.
func (p *Prober) Restarts() uint64 {
	return p.restarts.Load()
}

// Check probes immediately and reports whether the upstream is alive. Restarts is up to date afterwards. If ctx ends
// first, Check returns the last result.
func (p *Prober) Check(ctx context.Context) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	closeAnnounced := p.closeAnnounced.Load()
	err := p.probe(ctx)
	if ctx.Err() != nil {
		return p.alive.Load()
	}
	alive := err == nil
	// A probe that only times out or fails is no evidence that the process ended: health endpoints may lag or be wrong.
	ended := p.connectionLost.Swap(false) && !closeAnnounced || connectionRefused(err)
	if p.seenAlive && ended && !p.ignoreRestarts {
		p.restarts.Add(1)
		p.log("prober: the upstream ended", alive)
	}
	p.seenAlive = alive || p.seenAlive && !ended
	wasAlive := p.alive.Swap(alive)
	if wasAlive != alive && p.options.Changed != nil {
		p.options.Changed(alive)
	}
	return alive
}

// probe sends one request and returns an error unless the upstream responds with a status below 300.
func (p *Prober) probe(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.options.URL, http.NoBody)
	if err != nil {
		return err
	}
	sent := time.Now()
	response, err := p.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes))
	p.closeAnnounced.Store(response.Close)
	if p.options.Responded != nil {
		p.options.Responded(response.Header, timekeeper.FromDuration(time.Since(sent)))
	}
	if err == nil && response.StatusCode >= http.StatusMultipleChoices {
		return errors.New(response.Status)
	}
	return err
}

// connectionRefused reports whether no process listens at the upstream's address.
func connectionRefused(err error) bool {
	var opError *net.OpError
	return errors.As(err, &opError) && opError.Op == "dial" && !opError.Timeout()
}

func (p *Prober) log(text string, alive bool) {
	if p.options.Logger != nil {
		p.options.Logger.Warn(text, zap.Bool("alive", alive), zap.Uint64("restarts", p.restarts.Load()))
	}
}

func (p *Prober) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := p.options.Dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: conn, connectionLost: &p.connectionLost}, nil
}

// watchedConn records when the upstream closes the connection or the connection fails. The transport always reads from
// an idle connection, so the end is recorded as soon as the kernel reports it.
type watchedConn struct {
	net.Conn
	connectionLost *atomic.Bool
	closedLocally  atomic.Bool // closed by the prober
}

// Read implements net.Conn.
func (w *watchedConn) Read(buffer []byte) (int, error) {
	n, err := w.Conn.Read(buffer)
	if err != nil && !w.closedLocally.Load() {
		w.connectionLost.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (w *watchedConn) Close() error {
	w.closedLocally.Store(true)
	return w.Conn.Close()
}
