package messenger

import (
	"context"
	"net"
	"net/http"
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
)

// network is a network in memory with one listener, which counts its connections.
type network struct {
	*faker.Network
	server *Server
	dials  int
}

func (n *network) dial(ctx context.Context, address string) (net.Conn, error) {
	n.dials++
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

// start serves an echo receiver in the given zone and returns a client of zone "a".
func start(t *testing.T, zone string) (*Client, *Server, *network) {
	t.Helper()
	network := &network{Network: faker.NewNetwork()}
	server := NewServer(Options{Zone: zone})
	network.server = server
	receiver := &echo{release: make(chan struct{})}
	if err := server.Register("Echo", receiver); err != nil {
		t.Fatal(err)
	}
	web := &http.Server{Handler: server}
	listener := network.Listen("peer")
	go func() { _ = web.Serve(listener) }()
	client := NewClient(Options{Zone: "a", Dial: network.dial})
	t.Cleanup(func() {
		close(receiver.release)
		client.Close()
		server.Close()
		_ = web.Close()
	})
	return client, server, network
}
