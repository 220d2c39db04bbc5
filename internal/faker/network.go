package faker

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network connects dialers to listeners by address inside one process. Its connections block only on channels, so that
// code can use them under testing/synctest.
type Network struct {
	mutex     sync.Mutex
	listeners map[string]*memoryListener
}

// NewNetwork returns a network without listeners.
func NewNetwork() *Network {
	return &Network{listeners: make(map[string]*memoryListener)}
}

// Listen returns a new listener for an address. An earlier listener of that address gets no more connections.
func (n *Network) Listen(address string) net.Listener {
	l := &memoryListener{network: n, address: address, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.listeners[address] = l
	return l
}

// Dial connects to the listener of an address. Without a listener it fails with ECONNREFUSED.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	n.mutex.Lock()
	l := n.listeners[address]
	n.mutex.Unlock()
	refused := &net.OpError{Op: "dial", Net: network, Addr: memoryAddress(address), Err: syscall.ECONNREFUSED}
	if l == nil {
		return nil, refused
	}
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, refused
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: network, Addr: memoryAddress(address), Err: ctx.Err()}
	}
}

type memoryListener struct {
	network *Network
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.network.mutex.Lock()
	defer l.network.mutex.Unlock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	return nil
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr {
	return memoryAddress(l.address)
}

type memoryAddress string

// Network implements net.Addr.
func (memoryAddress) Network() string { return "memory" }

// String implements net.Addr.
func (a memoryAddress) String() string { return string(a) }
