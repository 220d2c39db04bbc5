package messenger

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// pipes is a listener whose connections are pipes in memory, so that tests run on the clock of testing/synctest.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
	dials int
}

func newPipes() *pipes {
	return &pipes{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { close(p.done); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(ctx context.Context, _ string) (net.Conn, error) {
	p.dials++
	near, far := net.Pipe()
	select {
	case p.conns <- far:
		return near, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// echo is a receiver with one method for each way in which a call ends.
type echo struct{ release chan struct{} }

type text struct{ Text string }

func (e *echo) Say(arguments, reply *text) error {
	reply.Text = arguments.Text
	return nil
}

func (e *echo) Refuse(arguments, _ *text) error {
	return classifier.New(classifier.CodeNotReady, arguments.Text, "not ready")
}

func (e *echo) Panic(*text, *text) error { panic("method is broken") }

func (e *echo) Block(*text, *text) error {
	<-e.release
	return nil
}

func (e *echo) Flood(_, reply *text) error {
	reply.Text = string(make([]byte, MaxMessageBytes+1))
	return nil
}

// start serves an echo receiver in the given zone and returns a client of zone "a".
func start(t *testing.T, zone string) (*Client, *Server, *pipes) {
	t.Helper()
	network := newPipes()
	server := NewServer(Options{Zone: zone})
	receiver := &echo{release: make(chan struct{})}
	if err := server.Register("Echo", receiver); err != nil {
		t.Fatal(err)
	}
	web := &http.Server{Handler: server}
	go func() { _ = web.Serve(network) }()
	client := NewClient(Options{Zone: "a", Dial: network.dial})
	t.Cleanup(func() {
		close(receiver.release)
		client.Close()
		server.Close()
		_ = web.Close()
	})
	return client, server, network
}
