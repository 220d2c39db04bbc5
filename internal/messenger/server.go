package messenger

import (
	"bufio"
	"net"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"go.uber.org/zap"
)

// zoneHeader carries the data centre of the sender in the CONNECT request and its response.
const zoneHeader = "Jasmine-Zone"

// Server serves calls from other nodes. It is an http.Handler for CONNECT requests.
type Server struct {
	options    Options
	rpc        *rpc.Server
	dispatcher *dispatcher
	mutex      sync.Mutex
	conns      map[net.Conn]struct{}
	closed     bool
}

// NewServer returns a server without registered methods.
func NewServer(options Options) *Server {
	options.setDefaults()
	s := &Server{options: options, rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}
	s.dispatcher = &dispatcher{logger: options.Logger}
	if err := s.rpc.RegisterName(serviceName, s.dispatcher); err != nil {
		options.Logger.Error("messenger: dispatcher is not usable", zap.Error(err))
	}
	return s
}

// Register makes each method of receiver with the signature func(arguments *A, reply *R) error callable as name.Method.
// It returns an error with CodePeerInvalid if receiver has no such method or a name is already registered.
func (s *Server) Register(name string, receiver any) error {
	return s.dispatcher.register(name, receiver)
}

// ServeHTTP takes over the connection of a CONNECT request and serves calls on it until it closes.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodConnect {
		w.Header().Set("Allow", http.MethodConnect)
		http.Error(w, "only CONNECT is accepted here", http.StatusMethodNotAllowed)
		return
	}
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		http.Error(w, "connection cannot be taken over", http.StatusInternalServerError)
		return
	}
	conn, buffer, err := hijacker.Hijack()
	if err != nil {
		s.options.Logger.Warn("messenger: connection cannot be taken over", zap.Error(err))
		return
	}
	s.serve(conn, buffer.Reader, r.Header.Get(zoneHeader))
}

func (s *Server) serve(conn net.Conn, reader *bufio.Reader, zone string) {
	defer func() { _ = conn.Close() }()
	if !s.add(conn) {
		return
	}
	defer s.remove(conn)
	_ = conn.SetDeadline(time.Time{}) // clears the deadline of the HTTP server
	counted := &countingConn{Conn: conn, traffic: s.options.Traffic}
	response := "HTTP/1.1 200 OK\r\n" + zoneHeader + ": " + s.options.Zone + "\r\n\r\n"
	if _, err := counted.Write([]byte(response)); err != nil {
		return
	}
	counted.setRemote(zone != s.options.Zone)
	// Bytes that the HTTP server has already buffered belong to the first message.
	rest, _ := reader.Peek(reader.Buffered())
	source := bufio.NewReader(&prefixedConn{Conn: counted, prefix: append([]byte(nil), rest...)})
	s.rpc.ServeCodec(&serverCodec{conn: counted, reader: source, idleTimeout: s.options.IdleTimeout * serverIdleFactor})
}

func (s *Server) add(conn net.Conn) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.closed || len(s.conns) >= s.options.MaxConnections {
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.conns, conn)
}

// Close closes all connections and refuses new ones. http.Server does not close hijacked connections.
func (s *Server) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

// prefixedConn returns the bytes of prefix before those of the connection.
type prefixedConn struct {
	net.Conn
	prefix []byte
}

// Read returns the remaining prefix first, then the bytes of the connection.
func (c *prefixedConn) Read(p []byte) (int, error) {
	if len(c.prefix) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.prefix)
	c.prefix = c.prefix[n:]
	return n, nil
}
