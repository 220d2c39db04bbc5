package faker

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// sendBuffer is the size of the send buffer of a client's connection, in bytes.
const sendBuffer = 16 << 10

// CutServer answers the last request of each connection before it has read the body, and then resets the connection.
type CutServer struct {
	listener net.Listener
	options  CutOptions
	dialed   chan *cutConn
}

// CutOptions configures a CutServer.
type CutOptions struct {
	// First is the answer to a first request of each connection, which is read whole; "" for connections with one request.
	First      string
	Answer     string // to the last request
	CloseFirst bool   // the connection is closed for sending before it is reset
}

// NewCutServer starts a server on a TCP port of its own. Its clients must use Dial, and send bodies of 1 MiB or more in
// the last request of a connection.
func NewCutServer(options CutOptions) (*CutServer, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &CutServer{listener: listener, options: options, dialed: make(chan *cutConn, 1)}
	go s.serve()
	return s, nil
}

// Address returns the address of the server.
func (s *CutServer) Address() string { return s.listener.Addr().String() }

// Close stops the server.
func (s *CutServer) Close() { _ = s.listener.Close() }

// Dial opens a connection on which a write always learns of the reset before a read: the kernel reports it once, and
// the read ends as if the server had closed the connection.
func (s *CutServer) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(sendBuffer) // a large buffer would take a whole body at once
	}
	c := &cutConn{
		Conn: conn, unread: len(s.options.First) + len(s.options.Answer),
		read: make(chan struct{}), failed: make(chan struct{}), ended: make(chan struct{}),
	}
	s.dialed <- c
	return c, nil
}

func (s *CutServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		client := <-s.dialed
		reader := bufio.NewReader(conn)
		if s.options.First != "" {
			if request, err := http.ReadRequest(reader); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, s.options.First)
			}
		}
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, s.options.Answer)
		select {
		case <-client.read:
		case <-client.ended:
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			if s.options.CloseFirst {
				_ = tcp.CloseWrite()
			}
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// cutConn is a connection of a client of a CutServer.
type cutConn struct {
	net.Conn
	unread    int           // bytes of the answer
	read      chan struct{} // closed when the answer was read
	failed    chan struct{} // closed when a write failed, and by Close
	ended     chan struct{} // closed when a read failed, and by Close
	endWrites sync.Once
	endReads  sync.Once
}

// Close implements io.Closer.
func (c *cutConn) Close() error {
	c.endWrites.Do(func() { close(c.failed) })
	c.endReads.Do(func() { close(c.ended) })
	return c.Conn.Close()
}

// Read implements io.Reader.
func (c *cutConn) Read(target []byte) (int, error) {
	if c.unread == 0 {
		<-c.failed
	}
	n, err := c.Conn.Read(target)
	if c.unread -= n; c.unread == 0 && n > 0 {
		close(c.read)
	}
	if err != nil {
		c.endReads.Do(func() { close(c.ended) })
	}
	return n, err
}

// Write implements io.Writer.
func (c *cutConn) Write(content []byte) (int, error) {
	n, err := c.Conn.Write(content)
	if err != nil {
		c.endWrites.Do(func() { close(c.failed) })
		<-c.ended
	}
	return n, err
}
