// Package pipeliner lets an HTTP server run requests side by side that a client sends ahead on one connection, without
// waiting for the responses. net/http reads the next request only after the response to the one before it.
package pipeliner

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/acceptor"
)

const (
	// maxPending bounds the bytes of a connection that were read and belong to requests that have not started.
	maxPending = 16 << 10
	// readSize is the size of one read ahead.
	readSize = 4 << 10
	// lingerTime is how long a connection is read after its last response, which a reset could overtake.
	lingerTime = 500 * time.Millisecond
)

// aLongTimeAgo is a deadline that ends reads in progress.
var aLongTimeAgo = time.Unix(1, 0)

// Conn is a connection of a client. It passes one request at a time on to net/http, and starts the ones behind it
// itself if they may run before it is answered. Their responses go out in the order of the requests.
//
// net/http reads a connection in three ways: the head and body of a request, and while a handler runs one byte in the
// background, to notice that the client leaves. The last kind of read is where a Conn reads ahead.
type Conn struct {
	*net.TCPConn
	server *Server
	ticket *acceptor.Ticket // nil without bounds
	ctx    context.Context  //nolint:containedctx // of the requests that run ahead; ends with the connection
	cancel context.CancelFunc

	mutex    sync.Mutex
	wake     *sync.Cond
	head     []byte // passed on of the current request, up to the end of its head
	complete bool   // the head is
	bodyless bool   // the current request has no body
	active   bool   // a handler of net/http runs
	pending  queue  // read and not passed on
	ahead    []*exchange
	closing  bool    // no further requests start
	failure  error   // of the last read ahead
	first    [1]byte // a read ahead waits with this, so that an idle connection holds no larger buffer
	aborted  bool    // net/http ends its read in the background
	deadline time.Time
}

func newConn(conn *net.TCPConn, server *Server) *Conn {
	c := &Conn{TCPConn: conn, server: server}
	c.wake = sync.NewCond(&c.mutex)
	c.ctx, c.cancel = context.WithCancel(context.Background())
	return c
}

// Close ends the connection and all requests that run ahead.
func (c *Conn) Close() error {
	c.cancel()
	c.ticket.Done()
	return c.TCPConn.Close()
}

// SetReadDeadline implements net.Conn. A deadline in the past ends a read ahead.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = t
	c.aborted = !t.IsZero() && t.Before(time.Now())
	c.wake.Broadcast()
	return c.TCPConn.SetReadDeadline(t)
}

// Head returns what was passed on of the current request, up to the end of its head.
func (c *Conn) Head() []byte {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.head
}

// Ahead returns the number of requests that run ahead of the response to the current one.
func (c *Conn) Ahead() int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return len(c.ahead)
}

// StopAhead lets no further requests start ahead, and reports whether some run that must be answered before the
// connection ends.
func (c *Conn) StopAhead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.closing = true
	return len(c.ahead) > 0
}

// setActive records that a handler of net/http runs. With false the connection waits for the next request.
func (c *Conn) setActive(active bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.active = active; !active {
		c.head, c.complete, c.bodyless = c.head[:0], false, false
		c.ticket.Next()
	}
}

// Read implements io.Reader for net/http.
func (c *Conn) Read(target []byte) (int, error) {
	c.mutex.Lock()
	background := c.active && len(target) == 1 && c.complete
	complete := c.complete
	c.mutex.Unlock()
	switch {
	case background:
		c.ticket.Complete() // net/http has read the whole request
		return 0, c.readAhead()
	case complete:
		return c.passBody(target)
	}
	if err := c.answerAhead(); err != nil {
		return 0, err
	}
	return c.passHead(target)
}

// passBody reads what follows the head of the current request.
func (c *Conn) passBody(target []byte) (int, error) {
	c.mutex.Lock()
	n := copy(target, c.pending.bytes())
	c.pending.drop(n)
	c.mutex.Unlock()
	if n > 0 {
		return n, nil
	}
	n, err := c.TCPConn.Read(target)
	if n > 0 {
		c.ticket.AddBody()
	}
	return n, err
}

// passHead reads the head of the next request. Of a request without a body it passes nothing on that follows.
func (c *Conn) passHead(target []byte) (int, error) {
	c.mutex.Lock()
	empty, failure := c.pending.size() == 0, c.failure
	c.mutex.Unlock()
	if empty {
		if failure != nil {
			return 0, failure
		}
		n, err := c.TCPConn.Read(target)
		if n == 0 {
			return 0, err
		}
		c.mutex.Lock()
		c.pending.add(target[:n])
		c.mutex.Unlock()
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	pending := c.pending.bytes()
	limit := len(pending)
	before := len(c.head)
	c.head = append(c.head, pending...)
	if end := EndOfHead(c.head); end >= 0 {
		if c.bodyless = !statesBody(c.head[:end]); c.bodyless {
			limit = end - before
		}
		c.complete = len(target) >= limit
	}
	n := copy(target, pending[:limit])
	c.head = c.head[:before+n]
	c.pending.drop(n)
	c.complete = c.complete || len(c.head) > c.server.MaxHead
	if !c.ticket.AddHead(n, bytes.Count(target[:n], []byte("\n"))) {
		c.cancel()
		return 0, errTooMuch
	}
	if c.complete && c.bodyless {
		c.ticket.Complete()
		c.startAhead()
	}
	return n, nil
}

// errTooMuch ends a connection whose head finds no room.
var errTooMuch = errors.New("the heads of all requests take too much memory")

// readAhead reads further requests and starts them, until net/http ends its read or the client leaves. It never returns
// bytes to net/http, which gets them when it reads the next request.
func (c *Conn) readAhead() error {
	var chunk *[readSize]byte
	defer func() { chunks.put(chunk) }()
	target := c.first[:]
	for {
		c.mutex.Lock()
		for c.pending.size() >= maxPending && !c.aborted {
			c.wake.Wait()
		}
		aborted, failure := c.aborted, c.failure
		c.mutex.Unlock()
		if aborted {
			return os.ErrDeadlineExceeded
		}
		if failure != nil {
			return failure
		}
		n, err := c.TCPConn.Read(target)
		c.receive(target[:n], err)
		if err != nil {
			return err
		}
		if chunk == nil {
			chunk = chunks.get()
			target = chunk[:]
		}
	}
}

// receive keeps what was read ahead and starts the requests in it. The end of the connection cancels those that run.
func (c *Conn) receive(content []byte, err error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pending.add(content)
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.failure = err
		c.cancel()
	}
	if !c.active || c.bodyless {
		c.startAhead()
	}
}

// startAhead starts the pending requests that may run before the ones before them are answered. The caller holds the
// lock.
func (c *Conn) startAhead() {
	for !c.closing && c.failure == nil && len(c.ahead) < c.server.MaxAhead {
		request, size := parseSimple(c.pending.bytes())
		if request == nil || !c.server.Allow(request) || !c.server.acquire() {
			return
		}
		c.pending.drop(size)
		e := newExchange(c, request)
		c.ahead = append(c.ahead, e)
		go e.serve()
	}
	c.wake.Broadcast()
}

// answerAhead sends the responses to the requests that run ahead, in their order, and meanwhile reads further ones. It
// returns an error if the connection ends.
func (c *Conn) answerAhead() error {
	for c.Ahead() > 0 {
		if err := c.answerStarted(); err != nil {
			return err
		}
	}
	return nil
}

// answerStarted sends the responses to the requests that run ahead until none is left. Further ones may have started
// when it returns.
func (c *Conn) answerStarted() error {
	reading := make(chan struct{})
	go func() {
		defer close(reading)
		_ = c.readAhead()
	}()
	err := c.sendAnswers()
	c.mutex.Lock()
	c.aborted = true
	c.wake.Broadcast()
	deadline := c.deadline
	c.mutex.Unlock()
	_ = c.TCPConn.SetReadDeadline(aLongTimeAgo)
	<-reading
	if err != nil {
		return err
	}
	return c.SetReadDeadline(deadline)
}

// sendAnswers lets one request after the other send its response.
func (c *Conn) sendAnswers() error {
	for {
		c.mutex.Lock()
		if len(c.ahead) == 0 {
			c.mutex.Unlock()
			return nil
		}
		e := c.ahead[0]
		c.mutex.Unlock()
		close(e.turn)
		<-e.done
		c.mutex.Lock()
		c.ahead = c.ahead[1:]
		c.closing = c.closing || e.closes
		ends := e.closes || e.broken
		if !ends {
			c.startAhead()
		}
		c.mutex.Unlock()
		switch {
		case e.broken:
			c.cancel()
			return io.ErrUnexpectedEOF
		case ends:
			c.cancel()
			c.linger()
			return io.EOF
		}
	}
}

// linger reads what the client still sends after the last response, for a moment.
func (c *Conn) linger() {
	if c.CloseWrite() != nil {
		return
	}
	time.Sleep(lingerTime)
}
