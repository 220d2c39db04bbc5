package messenger

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
)

// countingNetwork is an in-memory network that counts the connections opened.
type countingNetwork struct {
	*faker.Network
	server *Server
	dials  atomic.Int64
}

func (n *countingNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	n.dials.Add(1)
	return n.Dial(ctx, "tcp", address)
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

// startServer serves an echo receiver in the given data centre and returns a client in data centre "a".
func startServer(t *testing.T, zone string) (*Client, *Server, *countingNetwork) {
	t.Helper()
	network := &countingNetwork{Network: faker.NewNetwork()}
	server := NewServer(Options{Zone: zone})
	network.server = server
	receiver := &echo{release: make(chan struct{})}
	if err := server.Register("Echo", receiver); err != nil {
		t.Fatal(err)
	}
	httpServer := &http.Server{Handler: server}
	listener := network.Listen("peer")
	go func() { _ = httpServer.Serve(listener) }()
	client := NewClient(Options{Zone: "a", Dial: network.dial})
	t.Cleanup(func() {
		close(receiver.release)
		client.Close()
		server.Close()
		_ = httpServer.Close()
	})
	return client, server, network
}
