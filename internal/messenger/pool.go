package messenger

import (
	"net/rpc"
	"sync"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// link is one open connection to a peer.
type link struct {
	conn  *countedConn
	codec *clientCodec
	rpc   *rpc.Client
	timer *time.Timer // closes the link when it stays unused
}

func (l *link) close() {
	_ = l.rpc.Close()
}

// abort ends the running call by closing the connection under it.
func (l *link) abort() {
	l.codec.broken.Store(true)
	_ = l.conn.Close()
}

// pool keeps unused connections per peer, the latest used on top.
type pool struct {
	mutex  sync.Mutex
	idle   map[string][]*link
	limit  int // per peer
	total  int // over all peers
	count  int // unused connections now
	expiry timekeeper.Millis
	closed bool
}

func newPool(limit, total int, expiry timekeeper.Millis) *pool {
	return &pool{idle: make(map[string][]*link), limit: limit, total: total, expiry: expiry}
}

// take returns an unused connection that is not known to be broken, or nil.
func (p *pool) take(peer string) *link {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	links := p.idle[peer]
	for len(links) > 0 {
		last := links[len(links)-1]
		links = links[:len(links)-1]
		p.set(peer, links)
		p.count--
		last.timer.Stop()
		if !last.codec.broken.Load() {
			return last
		}
		last.close()
	}
	return nil
}

func (p *pool) set(peer string, links []*link) {
	if len(links) == 0 {
		delete(p.idle, peer)
		return
	}
	p.idle[peer] = links
}

func (p *pool) put(peer string, l *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.closed || len(p.idle[peer]) >= p.limit {
		l.close()
		return
	}
	if p.count >= p.total {
		p.evict()
	}
	p.count++
	l.timer = time.AfterFunc(p.expiry.Duration(), func() { p.expire(peer, l) })
	p.idle[peer] = append(p.idle[peer], l)
}

// evict closes one unused connection, the longest unused one of some peer.
func (p *pool) evict() {
	for peer, links := range p.idle {
		links[0].timer.Stop()
		links[0].close()
		p.set(peer, links[1:])
		p.count--
		return
	}
}

func (p *pool) expire(peer string, expired *link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for i, l := range p.idle[peer] {
		if l == expired {
			p.set(peer, append(p.idle[peer][:i:i], p.idle[peer][i+1:]...))
			p.count--
			expired.close()
			return
		}
	}
}

func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, links := range p.idle {
		for _, l := range links {
			l.timer.Stop()
			l.close()
		}
	}
	clear(p.idle)
	p.count = 0
}
