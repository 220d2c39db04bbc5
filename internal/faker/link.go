package faker

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// linkChunk is the size of the pieces that a link delays; linkBacklog bounds the pieces on the way.
	linkChunk   = 16 << 10
	linkBacklog = 256
)

// LinkOptions describe a link. The zero value passes everything on at once.
type LinkOptions struct {
	Delay  timekeeper.Millis // one way
	Jitter timekeeper.Millis // highest addition to Delay; the order of bytes is kept
	Loss   float64           // share of pieces that are lost and sent again
	Stall  timekeeper.Millis // how long a lost piece holds up its connection until it is sent again
	Seed   uint64
}

// Link relays connections to a target with delay, jitter, loss and silence.
type Link struct {
	options LinkOptions
	dial    func(ctx context.Context) (net.Conn, error)
	mutex   sync.Mutex
	random  *rand.Rand
	open    map[*relay]bool
	refuse  bool
	total   int
}

// relay is one connection through a link. Closing silent stops both of its directions without ending it, closing deaf
// only that from the target.
type relay struct {
	near, far net.Conn
	silent    chan struct{}
	deaf      chan struct{}
	ended     chan struct{}
	once      sync.Once
}

// NewLink returns a link that connects with dial for each connection it takes.
func NewLink(options LinkOptions, dial func(ctx context.Context) (net.Conn, error)) *Link {
	return &Link{
		options: options, dial: dial, open: make(map[*relay]bool), random: rand.New(rand.NewPCG(options.Seed, 1)),
	}
}

// Serve takes connections from listener until it is closed or ctx ends; then it cuts all connections.
func (l *Link) Serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer l.Cut()
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go l.connect(ctx, near)
	}
}

// Silence makes all present connections go silent for good: they stay open and carry nothing. New ones work.
func (l *Link) Silence() {
	l.closeEach(func(r *relay) chan struct{} { return r.silent })
}

// SilenceReplies makes all present connections carry nothing from the target any more, for good. The other direction
// works on.
func (l *Link) SilenceReplies() {
	l.closeEach(func(r *relay) chan struct{} { return r.deaf })
}

func (l *Link) closeEach(choose func(r *relay) chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for r := range l.open {
		select {
		case <-choose(r):
		default:
			close(choose(r))
		}
	}
}

// Cut ends all present connections.
func (l *Link) Cut() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for r := range l.open {
		r.end()
	}
}

// Refuse makes the link end new connections at once, or stop doing so.
func (l *Link) Refuse(refuse bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refuse = refuse
}

// Connections returns the number of connections taken so far.
func (l *Link) Connections() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.total
}

func (l *Link) connect(ctx context.Context, near net.Conn) {
	l.mutex.Lock()
	l.total++
	refuse := l.refuse
	l.mutex.Unlock()
	if refuse {
		_ = near.Close()
		return
	}
	far, err := l.dial(ctx)
	if err != nil {
		_ = near.Close()
		return
	}
	r := &relay{near: near, far: far, silent: make(chan struct{}), deaf: make(chan struct{}), ended: make(chan struct{})}
	l.mutex.Lock()
	l.open[r] = true
	l.mutex.Unlock()
	var group sync.WaitGroup
	group.Go(func() { l.carry(r, near, far, r.silent) })
	group.Go(func() { l.carry(r, far, near, r.quiet()) })
	group.Wait()
	l.mutex.Lock()
	delete(l.open, r)
	l.mutex.Unlock()
}

// piece is bytes on the way and the time at which they arrive.
type piece struct {
	content []byte
	due     time.Time
}

// carry moves bytes in one direction until the connection ends, or silently drops them from a time on.
func (l *Link) carry(r *relay, from, to net.Conn, silent <-chan struct{}) {
	way := make(chan piece, linkBacklog)
	var group sync.WaitGroup
	group.Go(func() { r.deliver(way, to, silent) })
	last := time.Now()
	for {
		content := make([]byte, linkChunk)
		n, err := from.Read(content)
		if n > 0 {
			if due := time.Now().Add(l.draw()); due.After(last) {
				last = due
			}
			select {
			case way <- piece{content[:n], last}:
			case <-r.ended:
			}
		}
		if err != nil {
			break
		}
	}
	close(way)
	group.Wait()
	r.end()
}

// deliver writes pieces when they are due. On a silent connection they are dropped, and its end is not told.
func (r *relay) deliver(way <-chan piece, to io.Writer, silent <-chan struct{}) {
	for p := range way {
		timer := time.NewTimer(time.Until(p.due))
		select {
		case <-timer.C:
		case <-r.ended:
		case <-silent:
		}
		timer.Stop()
		select {
		case <-silent:
			continue
		default:
		}
		if _, err := to.Write(p.content); err != nil {
			r.end()
		}
	}
	select {
	case <-silent:
		<-r.ended
	default:
	}
}

// quiet returns a channel that is closed when the direction from the target goes silent.
func (r *relay) quiet() <-chan struct{} {
	quiet := make(chan struct{})
	go func() {
		defer close(quiet)
		select {
		case <-r.silent:
		case <-r.deaf:
		case <-r.ended:
		}
	}()
	return quiet
}

func (r *relay) end() {
	r.once.Do(func() {
		close(r.ended)
		_ = r.near.Close()
		_ = r.far.Close()
	})
}

// draw returns the time that the next piece takes.
func (l *Link) draw() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	span := l.options.Delay.Duration()
	if l.options.Jitter > 0 {
		span += time.Duration(l.random.Int64N(int64(l.options.Jitter.Duration())))
	}
	if l.options.Loss > 0 && l.random.Float64() < l.options.Loss {
		span += l.options.Stall.Duration()
	}
	return span
}
