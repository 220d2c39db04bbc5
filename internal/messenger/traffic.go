package messenger

import (
	"net"
	"sync/atomic"
)

// Traffic counts the bytes of the node protocol, separately for peers in the same data centre (local) and in others
// (remote). It counts TCP payload, without TCP and IP headers. It is safe for concurrent use.
type Traffic struct {
	sentLocal, receivedLocal, sentRemote, receivedRemote atomic.Uint64
}

// Totals is a snapshot of the counters of a Traffic, in bytes.
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

// countingConn counts the bytes of a connection. The bytes of the handshake are added to the traffic once
// the data centre of the peer is known.
type countingConn struct {
	net.Conn
	traffic        *Traffic
	remote         atomic.Bool
	zoneKnown      atomic.Bool
	sent, received atomic.Uint64
}

// setRemote records whether the peer is in another data centre and adds the bytes of the handshake to the traffic.
func (c *countingConn) setRemote(remote bool) {
	c.remote.Store(remote)
	c.zoneKnown.Store(true)
	c.traffic.add(remote, c.sent.Swap(0), c.received.Swap(0))
}

// Read counts the bytes read.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.zoneKnown.Load() {
		c.traffic.add(c.remote.Load(), 0, uint64(max(n, 0)))
	} else {
		c.received.Add(uint64(max(n, 0)))
	}
	return n, err
}

// Write counts the bytes written.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if c.zoneKnown.Load() {
		c.traffic.add(c.remote.Load(), uint64(max(n, 0)), 0)
	} else {
		c.sent.Add(uint64(max(n, 0)))
	}
	return n, err
}
