package faker

import (
	"context"
	"net"
	"sync"
)

// Pipes is a network of connections in memory, so that tests with sockets run on the clock of testing/synctest.
type Pipes struct {
	mutex     sync.Mutex
	listeners map[string]*pipeListener
	dials     int
}

// NewPipes returns a network without listeners.
func NewPipes() *Pipes {
	return &Pipes{listeners: make(map[string]*pipeListener)}
}

// Listen returns a listener for an address; it replaces an earlier one of the same address.
func (p *Pipes) Listen(address string) net.Listener {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	l := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
	p.listeners[address] = l
	return l
}

// Dial connects to the listener of an address. It fails with net.ErrClosed if there is none.
func (p *Pipes) Dial(ctx context.Context, address string) (net.Conn, error) {
	p.mutex.Lock()
	p.dials++
	l := p.listeners[address]
	p.mutex.Unlock()
	if l == nil {
		return nil, net.ErrClosed
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.done:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Dials returns the number of calls of Dial so far.
func (p *Pipes) Dials() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.dials
}

// pipeListener hands out the far ends of the dialled connections.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.done) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr {
	return &net.TCPAddr{}
}
