package faker

import (
	"net"
	"sync"
	"time"
)

// queueChunks bounds the writes that wait for their delay on one direction of a connection.
const queueChunks = 256

// Conn is a connection of the fake network. Both directions have the delay of its route.
type Conn struct {
	net.Conn
	topology *Topology
	route    route
	done     chan struct{}
	once     sync.Once
	sent     chan chunk
	arrived  chan chunk
	rest     []byte
	failed   error
}

// chunk is the bytes of one write and the time at which they arrive.
type chunk struct {
	bytes []byte
	due   time.Time
	err   error
}

func newConn(inner net.Conn, topology *Topology, r route) net.Conn {
	c := &Conn{Conn: inner, topology: topology, route: r, done: make(chan struct{})}
	if r.local() {
		return c
	}
	c.sent, c.arrived = make(chan chunk, queueChunks), make(chan chunk, queueChunks)
	go c.deliver()
	go c.receive()
	return c
}

// Close closes the connection and ends its goroutines.
func (c *Conn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// Write sends bytes; on a route between data centres they arrive after its delay.
func (c *Conn) Write(bytes []byte) (int, error) {
	c.topology.count(c.route, len(bytes))
	if c.route.local() {
		if err := c.topology.wait(c.done, c.route); err != nil {
			return 0, err
		}
		return c.Conn.Write(bytes)
	}
	copied := append([]byte(nil), bytes...)
	select {
	case c.sent <- chunk{bytes: copied, due: c.due()}:
		return len(bytes), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Read returns bytes that have arrived.
func (c *Conn) Read(bytes []byte) (int, error) {
	if c.route.local() {
		count, err := c.Conn.Read(bytes)
		c.topology.count(c.route, count)
		if blocked := c.topology.wait(c.done, c.route); blocked != nil {
			return 0, blocked
		}
		return count, err
	}
	if len(c.rest) == 0 {
		if c.failed != nil {
			return 0, c.failed
		}
		select {
		case next := <-c.arrived:
			if err := c.hold(next); err != nil {
				return 0, err
			}
			c.rest, c.failed = next.bytes, next.err
			if len(c.rest) == 0 {
				return 0, c.failed
			}
		case <-c.done:
			return 0, net.ErrClosed
		}
	}
	count := copy(bytes, c.rest)
	c.rest = c.rest[count:]
	return count, nil
}

func (c *Conn) due() time.Time {
	return time.Now().Add(c.topology.latency().Duration())
}

// hold waits until a chunk is due and its route carries traffic.
func (c *Conn) hold(next chunk) error {
	timer := time.NewTimer(time.Until(next.due))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.done:
		return net.ErrClosed
	}
	return c.topology.wait(c.done, c.route)
}

func (c *Conn) deliver() {
	for {
		select {
		case next := <-c.sent:
			if err := c.hold(next); err != nil {
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

func (c *Conn) receive() {
	buffer := make([]byte, 32<<10)
	for {
		count, err := c.Conn.Read(buffer)
		c.topology.count(c.route, count)
		next := chunk{bytes: append([]byte(nil), buffer[:count]...), due: c.due(), err: err}
		select {
		case c.arrived <- next:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}
