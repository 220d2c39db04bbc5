package faker

import (
	"io"
	"net"
	"sync"
	"time"
)

// maxQueuedChunks bounds the chunks that wait for their delay in one direction of a connection.
const maxQueuedChunks = 256

// Conn is a connection of a Topology. Between data centres, bytes in both directions arrive after a random delay.
type Conn struct {
	net.Conn
	topology    *Topology
	route       route
	done        chan struct{}
	once        sync.Once
	undelivered chan struct{} // closed when written bytes could not be delivered
	outgoing    chan chunk
	incoming    chan chunk
	unread      []byte
	readError   error
}

// chunk holds bytes that are in flight and the time at which they arrive, or the error that ended the connection.
type chunk struct {
	bytes []byte
	due   time.Time
	err   error
}

func newConn(inner net.Conn, topology *Topology, r route) net.Conn {
	c := &Conn{Conn: inner, topology: topology, route: r, done: make(chan struct{}), undelivered: make(chan struct{})}
	if r.local() {
		return c
	}
	c.outgoing, c.incoming = make(chan chunk, maxQueuedChunks), make(chan chunk, maxQueuedChunks)
	go c.deliverOutgoing()
	go c.receiveIncoming()
	return c
}

// Close closes the connection and ends its goroutines.
func (c *Conn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// Write sends bytes. Within a data centre it waits while the route is blocked. Between data centres it queues the
// bytes, which arrive after a random delay.
func (c *Conn) Write(bytes []byte) (int, error) {
	c.topology.countBytes(c.route, len(bytes))
	if c.route.local() {
		if err := c.topology.waitUnblocked(c.done, c.route); err != nil {
			return 0, err
		}
		return c.Conn.Write(bytes)
	}
	copied := append([]byte(nil), bytes...)
	select {
	case c.outgoing <- chunk{bytes: copied, due: c.arrivalTime()}:
		return len(bytes), nil
	case <-c.undelivered:
		return 0, io.ErrClosedPipe
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Read returns bytes that have arrived. It blocks until there are some.
func (c *Conn) Read(bytes []byte) (int, error) {
	if c.route.local() {
		count, err := c.Conn.Read(bytes)
		c.topology.countBytes(c.route, count)
		if waitErr := c.topology.waitUnblocked(c.done, c.route); waitErr != nil {
			return 0, waitErr
		}
		return count, err
	}
	if len(c.unread) == 0 {
		if c.readError != nil {
			return 0, c.readError
		}
		select {
		case next := <-c.incoming:
			if err := c.awaitDelivery(next); err != nil {
				return 0, err
			}
			c.unread, c.readError = next.bytes, next.err
			if len(c.unread) == 0 {
				return 0, c.readError
			}
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	count := copy(bytes, c.unread)
	c.unread = c.unread[count:]
	return count, nil
}

func (c *Conn) arrivalTime() time.Time {
	return time.Now().Add(c.topology.drawDelay().Duration())
}

// awaitDelivery waits until a chunk is due and its route carries traffic.
func (c *Conn) awaitDelivery(next chunk) error {
	timer := time.NewTimer(time.Until(next.due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.done:
		return net.ErrClosed
	}
	return c.topology.waitUnblocked(c.done, c.route)
}

func (c *Conn) deliverOutgoing() {
	defer close(c.undelivered)
	for {
		select {
		case next := <-c.outgoing:
			if err := c.awaitDelivery(next); err != nil {
				return
			}
			if _, err := c.Conn.Write(next.bytes); err != nil {
				return
			}
		case <-c.done:
			return
		}
	}
}

func (c *Conn) receiveIncoming() {
	buffer := make([]byte, 32<<10)
	for {
		count, err := c.Conn.Read(buffer)
		c.topology.countBytes(c.route, count)
		next := chunk{bytes: append([]byte(nil), buffer[:count]...), due: c.arrivalTime(), err: err}
		select {
		case c.incoming <- next:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}
