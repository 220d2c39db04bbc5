package messenger

import (
	"net/rpc"
	"sync"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// peerConn is one open connection to a peer.
type peerConn struct {
	conn  *countingConn
	codec *clientCodec
	rpc   *rpc.Client
	timer *time.Timer // closes the connection at the end of its idle timeout
}

func (c *peerConn) close() {
	_ = c.rpc.Close()
}

// abort ends the call in flight by closing the connection.
func (c *peerConn) abort() {
	c.codec.broken.Store(true)
	_ = c.conn.Close()
}

// pool keeps the idle connections of each peer, the most recently used last.
type pool struct {
	mutex       sync.Mutex
	idle        map[string][]*peerConn
	maxPerPeer  int // idle connections per peer
	maxTotal    int // idle connections over all peers
	size        int // current number of idle connections
	idleTimeout timekeeper.Millis
	closed      bool
}

func newPool(maxPerPeer, maxTotal int, idleTimeout timekeeper.Millis) *pool {
	return &pool{
		idle: make(map[string][]*peerConn), maxPerPeer: maxPerPeer, maxTotal: maxTotal, idleTimeout: idleTimeout,
	}
}

// take removes and returns the most recently used idle connection that is not known to be broken, or nil.
func (p *pool) take(peer string) *peerConn {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	conns := p.idle[peer]
	for len(conns) > 0 {
		newest := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		p.setIdle(peer, conns)
		p.size--
		newest.timer.Stop()
		if !newest.codec.broken.Load() {
			return newest
		}
		newest.close()
	}
	return nil
}

func (p *pool) setIdle(peer string, conns []*peerConn) {
	if len(conns) == 0 {
		delete(p.idle, peer)
		return
	}
	p.idle[peer] = conns
}

// put adds an idle connection, and evicts another one if the pool is full. It closes the connection instead if the pool
// is closed or the peer has its maximum of idle connections.
func (p *pool) put(peer string, c *peerConn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || len(p.idle[peer]) >= p.maxPerPeer {
		c.close()
		return
	}
	if p.size >= p.maxTotal {
		p.evict()
	}
	p.size++
	c.timer = time.AfterFunc(p.idleTimeout.Duration(), func() { p.expire(peer, c) })
	p.idle[peer] = append(p.idle[peer], c)
}

// evict closes the longest idle connection of an arbitrary peer.
func (p *pool) evict() {
	for peer, conns := range p.idle {
		conns[0].timer.Stop()
		conns[0].close()
		p.setIdle(peer, conns[1:])
		p.size--
		return
	}
}

// expire closes a connection that is still idle at the end of its idle timeout.
func (p *pool) expire(peer string, expired *peerConn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for i, c := range p.idle[peer] {
		if c == expired {
			p.setIdle(peer, append(p.idle[peer][:i:i], p.idle[peer][i+1:]...))
			p.size--
			expired.close()
			return
		}
	}
}

// drop closes the idle connections of a peer.
func (p *pool) drop(peer string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.idle[peer] {
		c.timer.Stop()
		c.close()
		p.size--
	}
	delete(p.idle, peer)
}

func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, conns := range p.idle {
		for _, c := range conns {
			c.timer.Stop()
			c.close()
		}
	}
	clear(p.idle)
	p.size = 0
}
