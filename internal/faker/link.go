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
	// linkPieceBytes is the largest piece that a link delays; maxQueuedPieces bounds the pieces in flight one way.
	linkPieceBytes  = 16 << 10
	maxQueuedPieces = 256
)

// LinkOptions are the properties of a link. The zero value forwards everything without delay.
type LinkOptions struct {
	Delay  timekeeper.Millis // one way
	Jitter timekeeper.Millis // upper bound of the random addition to Delay; the order of bytes is kept
	Loss   float64           // share of pieces that are lost and retransmitted
	Stall  timekeeper.Millis // delay that the retransmission of a lost piece adds to its connection
	Seed   uint64
}

// Link relays connections to a target. It simulates delay, jitter, packet loss and connections that go silent.
type Link struct {
	options  LinkOptions
	dial     func(ctx context.Context) (net.Conn, error)
	mutex    sync.Mutex
	random   *rand.Rand
	open     map[*relay]bool
	refusing bool
	accepted int
}

// relay is one connection through a link. When silent is closed, both directions drop their bytes and the connection
// stays open; repliesSilent does the same to the direction from the target.
type relay struct {
	client, target net.Conn
	silent         chan struct{}
	repliesSilent  chan struct{}
	closed         chan struct{}
	once           sync.Once
}

// NewLink returns a link that calls dial for each connection that it accepts.
func NewLink(options LinkOptions, dial func(ctx context.Context) (net.Conn, error)) *Link {
	return &Link{
		options: options, dial: dial, open: make(map[*relay]bool), random: rand.New(rand.NewPCG(options.Seed, 1)),
	}
}

// Serve accepts connections from listener until the listener is closed or ctx ends; then it closes all connections.
func (l *Link) Serve(ctx context.Context, listener net.Listener) {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	defer l.Cut()
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go l.connect(ctx, client)
	}
}

// Silence makes all open connections silent permanently: they stay open and drop all bytes. New connections work.
func (l *Link) Silence() {
	l.closeChannels(func(r *relay) chan struct{} { return r.silent })
}

// SilenceReplies permanently drops all bytes from the target on the open connections. The other direction still works.
func (l *Link) SilenceReplies() {
	l.closeChannels(func(r *relay) chan struct{} { return r.repliesSilent })
}

func (l *Link) closeChannels(channelOf func(r *relay) chan struct{}) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for r := range l.open {
		select {
		case <-channelOf(r):
		default:
			close(channelOf(r))
		}
	}
}

// Cut closes all open connections.
func (l *Link) Cut() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for r := range l.open {
		r.closeConnections()
	}
}

// Refuse sets whether the link closes new connections at once.
func (l *Link) Refuse(refusing bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.refusing = refusing
}

// Connections returns the number of connections accepted so far.
func (l *Link) Connections() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.accepted
}

func (l *Link) connect(ctx context.Context, client net.Conn) {
	l.mutex.Lock()
	l.accepted++
	refusing := l.refusing
	l.mutex.Unlock()
	if refusing {
		_ = client.Close()
		return
	}
	target, err := l.dial(ctx)
	if err != nil {
		_ = client.Close()
		return
	}
	r := &relay{
		client: client, target: target,
		silent: make(chan struct{}), repliesSilent: make(chan struct{}), closed: make(chan struct{}),
	}
	l.mutex.Lock()
	l.open[r] = true
	l.mutex.Unlock()
	var group sync.WaitGroup
	group.Go(func() { l.forward(r, client, target, r.silent) })
	group.Go(func() { l.forward(r, target, client, r.silencedReplies()) })
	group.Wait()
	l.mutex.Lock()
	delete(l.open, r)
	l.mutex.Unlock()
}

// piece holds bytes that are in flight and the time at which they arrive.
type piece struct {
	content []byte
	due     time.Time
}

// forward copies bytes in one direction until the connection ends. Once silent is closed, it drops them.
func (l *Link) forward(r *relay, from, to net.Conn, silent <-chan struct{}) {
	queue := make(chan piece, maxQueuedPieces)
	var group sync.WaitGroup
	group.Go(func() { r.deliver(queue, to, silent) })
	lastDue := time.Now()
	for {
		content := make([]byte, linkPieceBytes)
		n, err := from.Read(content)
		if n > 0 {
			if due := time.Now().Add(l.drawDelay()); due.After(lastDue) {
				lastDue = due
			}
			select {
			case queue <- piece{content[:n], lastDue}:
			case <-r.closed:
			}
		}
		if err != nil {
			break
		}
	}
	close(queue)
	group.Wait()
	r.closeConnections()
}

// deliver writes pieces when they are due. Once silent is closed, it drops them and does not pass on the end of the
// connection.
func (r *relay) deliver(queue <-chan piece, to io.Writer, silent <-chan struct{}) {
	for p := range queue {
		timer := time.NewTimer(time.Until(p.due))
		select {
		case <-timer.C:
		case <-r.closed:
		case <-silent:
		}
		timer.Stop()
		select {
		case <-silent:
			continue
		default:
		}
		if _, err := to.Write(p.content); err != nil {
			r.closeConnections()
		}
	}
	select {
	case <-silent:
		<-r.closed
	default:
	}
}

// silencedReplies returns a channel that is closed when the direction from the target goes silent or the connection
// ends.
func (r *relay) silencedReplies() <-chan struct{} {
	silenced := make(chan struct{})
	go func() {
		defer close(silenced)
		select {
		case <-r.silent:
		case <-r.repliesSilent:
		case <-r.closed:
		}
	}()
	return silenced
}

func (r *relay) closeConnections() {
	r.once.Do(func() {
		close(r.closed)
		_ = r.client.Close()
		_ = r.target.Close()
	})
}

// drawDelay returns a random delay for the next piece.
func (l *Link) drawDelay() time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delay := l.options.Delay.Duration()
	if l.options.Jitter > 0 {
		delay += time.Duration(l.random.Int64N(int64(l.options.Jitter.Duration())))
	}
	if l.options.Loss > 0 && l.random.Float64() < l.options.Loss {
		delay += l.options.Stall.Duration()
	}
	return delay
}
