package pipeliner

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/acceptor"
)

// Server holds what the connections of one address have in common.
type Server struct {
	Handler http.Handler
	// Allow reports whether a request may start before the ones before it on its connection are answered.
	Allow    func(r *http.Request) bool
	MaxAhead int // requests that run ahead on one connection
	MaxTotal int // requests that run ahead on all connections
	MaxHead  int // bytes of a head that are kept
	// Bounds limits the open connections and the heads of their requests; nil for no limits.
	Bounds *acceptor.Bounds

	total atomic.Int64
}

// acquire counts a request that runs ahead; false if there are too many.
func (s *Server) acquire() bool {
	if s.total.Add(1) > int64(s.MaxTotal) {
		s.total.Add(-1)
		return false
	}
	return true
}

func (s *Server) release() {
	s.total.Add(-1)
}

// Running returns the number of requests that run ahead.
func (s *Server) Running() int64 {
	return s.total.Load()
}

type listener struct {
	net.Listener
	server *Server
}

// Listen returns a listener whose TCP connections are Conns.
func (s *Server) Listen(inner net.Listener) net.Listener {
	return &listener{inner, s}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		tcp, ok := conn.(*net.TCPConn)
		if err != nil || !ok {
			return conn, err
		}
		if c := l.admit(tcp); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection, or closes it and returns nil if there is no room for it.
func (l *listener) admit(tcp *net.TCPConn) net.Conn {
	c := newConn(tcp, l.server)
	if l.server.Bounds == nil {
		return c
	}
	if c.ticket = l.server.Bounds.Admit(func() { _ = c.Close() }); c.ticket == nil {
		c.cancel()
		_ = tcp.SetLinger(0)
		_ = tcp.Close()
		return nil
	}
	return c
}

type connectionKey struct{}

// Attach makes an http.Server tell the connections about its handlers, and their requests about the connections.
func (s *Server) Attach(h *http.Server) {
	h.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connectionKey{}, conn)
	}
	h.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && (state == http.StateActive || state == http.StateIdle) {
			c.setActive(state == http.StateActive)
		}
	}
}

// ConnOf returns the connection of a request, or nil.
func ConnOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connectionKey{}).(*Conn)
	return c
}
