// Package prober watches the local upstream by HTTP GET on its probe path. A probe is a help and never the only
// evidence: health endpoints lag and mislead, so calls that fail count on their own.
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
)

const (
	defaultInterval = timekeeper.Second
	// defaultTimeout is many times the 6 ms that a probe takes, since a busy upstream answers late.
	defaultTimeout timekeeper.Millis = 500
	// maxProbeBytes bounds what is read of a probe's body.
	maxProbeBytes = 4 << 10
)

// Options are the target and the rhythm of a Prober.
type Options struct {
	URL      string // probe path with address, such as http://127.0.0.1:9000/health
	Interval timekeeper.Millis
	Timeout  timekeeper.Millis
	Logger   *zap.Logger
	Dial     func(ctx context.Context, network, address string) (net.Conn, error) // nil for TCP
	Changed  func(alive bool)                                                     // after each change; may be nil
}

// Prober keeps one open connection to the upstream. When the upstream's process ends, the kernel closes that
// connection, so a lost connection tells of a restart even if the next probe succeeds.
type Prober struct {
	options   Options
	client    *http.Client
	transport *http.Transport
	alive     atomic.Bool
	restarts  atomic.Uint64
	lost      atomic.Bool // the upstream closed the kept connection without saying so
	announced atomic.Bool // the last answer said that its connection closes
	mutex     sync.Mutex  // one probe at a time
	seen      bool        // a probe succeeded since the last end; under mutex

	noWatch bool // ignores lost connections; set by tests only
}

// New returns a prober that has seen no probe yet and reports the upstream as not alive.
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
	p.transport = &http.Transport{DialContext: p.dial, MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1}
	p.client = &http.Client{
		Transport: p.transport, Timeout: options.Timeout.Duration(),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return p
}

// Run probes until ctx ends.
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

// Restarts returns how often the upstream was seen to end, whether or not it came back.
func (p *Prober) Restarts() uint64 {
	return p.restarts.Load()
}

// Check probes at once and reports whether the upstream answers. Restarts is up to date afterwards.
func (p *Prober) Check(ctx context.Context) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	announced := p.announced.Load()
	err := p.probe(ctx)
	if ctx.Err() != nil {
		return p.alive.Load()
	}
	alive := err == nil
	// A probe that only takes too long or fails is no evidence of an end: health endpoints lag and mislead.
	ended := p.lost.Swap(false) && !announced || refused(err)
	if p.seen && ended && !p.noWatch {
		p.restarts.Add(1)
		p.log("prober: the upstream ended", alive)
	}
	p.seen = alive || p.seen && !ended
	before := p.alive.Swap(alive)
	if before != alive && p.options.Changed != nil {
		p.options.Changed(alive)
	}
	return alive
}

func (p *Prober) probe(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, p.options.URL, http.NoBody)
	if err != nil {
		return err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxProbeBytes))
	p.announced.Store(response.Close)
	if err == nil && response.StatusCode >= http.StatusMultipleChoices {
		return errors.New(response.Status)
	}
	return err
}

// refused reports whether nobody listens at the upstream's address.
func refused(err error) bool {
	var network *net.OpError
	return errors.As(err, &network) && network.Op == "dial" && !network.Timeout()
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
	return &watchedConn{Conn: conn, lost: &p.lost}, nil
}

// watchedConn notes when the other side ends the connection. The transport reads from an idle connection all the time,
// so the note is there as soon as the kernel knows.
type watchedConn struct {
	net.Conn
	lost   *atomic.Bool
	closed atomic.Bool // by this side
}

// Read implements net.Conn.
func (w *watchedConn) Read(target []byte) (int, error) {
	n, err := w.Conn.Read(target)
	if err != nil && !w.closed.Load() {
		w.lost.Store(true)
	}
	return n, err
}

// Close implements net.Conn.
func (w *watchedConn) Close() error {
	w.closed.Store(true)
	return w.Conn.Close()
}
