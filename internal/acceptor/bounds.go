// Package acceptor bounds what clients that nobody controls can make a process hold: open connections, and the heads of
// requests, which cost a multiple of their bytes once they are parsed.
package acceptor

import (
	"sync"
	"sync/atomic"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// byteCost and fieldCost estimate the memory that a head takes: its bytes are kept and parsed, and each field takes an
	// entry however short it is.
	byteCost  = 4
	fieldCost = 24
	// freeHead is the cost of a head that counts against no bound. Heads of ordinary requests are below it.
	freeHead = 16 << 10
	// minWait is how long a connection without a complete request is kept at least, in ms.
	minWait = timekeeper.Second
)

// Limits bound the connections and heads of one address.
type Limits struct {
	Connections int   // open at the same time
	Heads       int64 // cost of all heads of requests that are read or served, beyond freeHead each
}

// Bounds keeps the connections of one address within its limits. When there are too many, it closes those that have
// made the least progress: a connection whose request is complete is never closed.
type Bounds struct {
	limits  Limits
	clock   timekeeper.Clock
	mutex   sync.Mutex
	open    map[*Ticket]bool
	heads   int64
	closed  atomic.Int64 // connections that were closed to make room
	refused atomic.Int64 // connections that found no room, and heads that were too large
}

// NewBounds returns bounds without connections.
func NewBounds(clock timekeeper.Clock, limits Limits) *Bounds {
	return &Bounds{limits: limits, clock: clock, open: make(map[*Ticket]bool)}
}

// Ticket stands for one open connection. A nil *Ticket is one without bounds.
type Ticket struct {
	bounds   *Bounds
	close    func()
	since    timekeeper.Millis // start of the connection, end of its last request or last bytes of a body
	reading  bool              // the next request is not complete
	idle     bool              // nothing of the next request has come, after an earlier one
	cost     int64             // of the current head
	reserved int64             // part of the cost that counts
}

// Admit returns the ticket of a new connection, which close closes; nil if there is no room for it.
func (b *Bounds) Admit(closeConn func()) *Ticket {
	b.mutex.Lock()
	var victim *Ticket
	if len(b.open) >= b.limits.Connections {
		if victim = b.slowest(); victim == nil {
			b.mutex.Unlock()
			b.refused.Add(1)
			return nil
		}
		b.remove(victim)
	}
	t := &Ticket{bounds: b, close: closeConn, since: b.clock.Now(), reading: true}
	b.open[t] = true
	b.mutex.Unlock()
	if victim != nil {
		b.closed.Add(1)
		victim.close()
	}
	return t
}

// slowest returns the connection that has waited longest for the end of a request, nil if none has for minWait.
// Connections that wait for a further request come last. The caller holds the lock.
func (b *Bounds) slowest() *Ticket {
	var found *Ticket
	for t := range b.open {
		if !t.reading || b.clock.Now()-t.since < minWait {
			continue
		}
		if found == nil || found.idle && !t.idle || found.idle == t.idle && t.since < found.since {
			found = t
		}
	}
	return found
}

// remove forgets a connection and what it holds. The caller holds the lock.
func (b *Bounds) remove(t *Ticket) {
	if b.open[t] {
		delete(b.open, t)
		b.heads -= t.reserved
		t.reserved = 0
	}
}

// AddHead counts a part of a head. It returns false if the connection has to end, since the heads of all connections
// take too much and no other incomplete one takes more.
func (t *Ticket) AddHead(bytes, fields int) bool {
	if t == nil {
		return true
	}
	b := t.bounds
	b.mutex.Lock()
	t.idle = false
	t.cost += int64(bytes)*byteCost + int64(fields)*fieldCost
	needed := max(t.cost-freeHead, 0) - t.reserved
	if needed <= 0 || !b.open[t] {
		b.mutex.Unlock()
		return true
	}
	var victims []*Ticket
	for b.heads+needed > b.limits.Heads {
		victim := b.largest()
		if victim == nil || victim == t || victim.reserved <= t.reserved {
			b.mutex.Unlock()
			b.refused.Add(1)
			return false
		}
		b.remove(victim)
		victims = append(victims, victim)
	}
	b.heads += needed
	t.reserved += needed
	b.mutex.Unlock()
	for _, victim := range victims {
		b.closed.Add(1)
		victim.close()
	}
	return true
}

// largest returns the connection with the largest incomplete head, or nil. The caller holds the lock.
func (b *Bounds) largest() *Ticket {
	var found *Ticket
	for t := range b.open {
		if t.reading && t.reserved > 0 && (found == nil || t.reserved > found.reserved) {
			found = t
		}
	}
	return found
}

// AddBody records that a part of a body has come.
func (t *Ticket) AddBody() {
	if t == nil {
		return
	}
	t.bounds.mutex.Lock()
	defer t.bounds.mutex.Unlock()
	t.since = t.bounds.clock.Now()
}

// Complete records that a request is complete, with its body.
func (t *Ticket) Complete() {
	if t == nil {
		return
	}
	t.bounds.mutex.Lock()
	defer t.bounds.mutex.Unlock()
	t.reading = false
}

// Next records that a request was answered and the connection waits for the next one.
func (t *Ticket) Next() {
	if t == nil {
		return
	}
	b := t.bounds
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.heads -= t.reserved
	t.reserved, t.cost, t.reading, t.idle, t.since = 0, 0, true, true, b.clock.Now()
}

// Done records the end of the connection.
func (t *Ticket) Done() {
	if t == nil {
		return
	}
	t.bounds.mutex.Lock()
	defer t.bounds.mutex.Unlock()
	t.bounds.remove(t)
}

// Open returns the number of open connections.
func (b *Bounds) Open() int64 {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return int64(len(b.open))
}

// Closed returns the number of connections that were closed to make room for others.
func (b *Bounds) Closed() int64 { return b.closed.Load() }

// Refused returns the number of connections that were refused or closed because of their own head.
func (b *Bounds) Refused() int64 { return b.refused.Load() }
