package messenger

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of the node protocol, split by whether the other end is in the same data centre.
// It counts payload of the TCP stream, without the headers of TCP and IP. It is safe for concurrent use.
type Traffic struct {
	sentLocal, receivedLocal, sentRemote, receivedRemote atomic.Uint64
}

// Totals are the counts of a Traffic at one moment, in bytes.
type Totals struct {
	SentLocal      uint64 `json:"sentlocal"`
	ReceivedLocal  uint64 `json:"receivedlocal"`
	SentRemote     uint64 `json:"sentremote"`
	ReceivedRemote uint64 `json:"receivedremote"`
}

// Totals returns the bytes counted so far.
func (t *Traffic) Totals() Totals {
	return Totals{
		SentLocal: t.sentLocal.Load(), ReceivedLocal: t.receivedLocal.Load(),
		SentRemote: t.sentRemote.Load(), ReceivedRemote: t.receivedRemote.Load(),
	}
}

func (t *Traffic) add(remote bool, sent, received uint64) {
	if remote {
		t.sentRemote.Add(sent)
		t.receivedRemote.Add(received)
		return
	}
	t.sentLocal.Add(sent)
	t.receivedLocal.Add(received)
}

// countedConn counts the bytes of a connection. Those of the handshake are held back until the zone of the other
// end is known.
type countedConn struct {
	net.Conn
	traffic        *Traffic
	remote         atomic.Bool
	located        atomic.Bool
	sent, received atomic.Uint64
}

// locate says where the other end is and books the bytes held back so far.
func (c *countedConn) locate(remote bool) {
	c.remote.Store(remote)
	c.located.Store(true)
	c.traffic.add(remote, c.sent.Swap(0), c.received.Swap(0))
}

// Read counts the bytes read.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.located.Load() {
		c.traffic.add(c.remote.Load(), 0, uint64(max(n, 0)))
	} else {
		c.received.Add(uint64(max(n, 0)))
	}
	return n, err
}

// Write counts the bytes written.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if c.located.Load() {
		c.traffic.add(c.remote.Load(), uint64(max(n, 0)), 0)
	} else {
		c.sent.Add(uint64(max(n, 0)))
	}
	return n, err
}
