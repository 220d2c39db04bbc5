package pipeliner

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"log"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"
)

// writeSize is the size of the buffer of a response.
const writeSize = 4 << 10

// exchange is a request that runs ahead, and the writer of its response. The handler waits for its turn before the
// first byte goes out, and until then holds the response within its own bounds.
type exchange struct {
	conn    *Conn
	request *http.Request
	turn    chan struct{} // closed when all responses before it are sent
	done    chan struct{} // closed when the response is sent
	closes  bool          // the response announces the end of the connection
	broken  bool          // the response is not complete

	header    http.Header
	status    int // 0 before WriteHeader
	started   bool
	writer    *bufio.Writer
	chunked   bool
	remaining int64 // of the stated length; -1 without one
}

func newExchange(c *Conn, request *http.Request) *exchange {
	ctx := context.WithValue(c.ctx, connectionKey{}, c)
	return &exchange{
		conn: c, request: request.WithContext(ctx), turn: make(chan struct{}), done: make(chan struct{}),
		header: make(http.Header), remaining: -1,
	}
}

// serve runs the handler and completes the response.
func (e *exchange) serve() {
	defer close(e.done)
	defer e.conn.server.release()
	ctx, cancel := context.WithCancel(e.request.Context())
	defer cancel()
	e.request = e.request.WithContext(ctx)
	e.request.RemoteAddr = e.conn.RemoteAddr().String()
	defer func() {
		if cause := recover(); cause != nil {
			e.broken = true
			if cause != http.ErrAbortHandler { //nolint:errorlint // the value that net/http compares as well
				log.Printf("http: panic serving %v: %v\n%s", e.request.RemoteAddr, cause, debug.Stack())
			}
		}
	}()
	e.conn.server.Handler.ServeHTTP(e, e.request)
	if err := e.finish(); err != nil {
		e.broken = true
	}
}

// Header implements http.ResponseWriter.
func (e *exchange) Header() http.Header {
	return e.header
}

// WriteHeader implements http.ResponseWriter. The head is sent with the first byte of the body.
func (e *exchange) WriteHeader(status int) {
	if e.status == 0 && status >= http.StatusOK {
		e.status = status
	}
}

// Write implements io.Writer.
func (e *exchange) Write(content []byte) (int, error) {
	if err := e.start(content); err != nil {
		return 0, err
	}
	if e.request.Method == http.MethodHead || !bodyAllowed(e.status) {
		return len(content), nil
	}
	if e.chunked {
		if len(content) == 0 {
			return 0, nil
		}
		if _, err := fmt.Fprintf(e.writer, "%x\r\n", len(content)); err != nil {
			return 0, err
		}
		n, err := e.writer.Write(content)
		if err == nil {
			_, err = e.writer.WriteString("\r\n")
		}
		return n, err
	}
	if int64(len(content)) > e.remaining {
		return 0, http.ErrContentLength
	}
	e.remaining -= int64(len(content))
	return e.writer.Write(content)
}

// Flush implements http.Flusher.
func (e *exchange) Flush() {
	if e.start(nil) == nil {
		_ = e.writer.Flush()
	}
}

// SetWriteDeadline is used by http.ResponseController.
func (e *exchange) SetWriteDeadline(deadline time.Time) error {
	if err := e.awaitTurn(); err != nil {
		return err
	}
	return e.conn.SetWriteDeadline(deadline)
}

func (e *exchange) awaitTurn() error {
	select {
	case <-e.turn:
		return nil
	default:
	}
	select {
	case <-e.turn:
		return nil
	case <-e.request.Context().Done():
		return e.request.Context().Err()
	}
}

// start waits for the turn of the response and sends its head.
func (e *exchange) start(first []byte) error {
	if e.started {
		return nil
	}
	if err := e.awaitTurn(); err != nil {
		return err
	}
	e.started = true
	if e.status == 0 {
		e.status = http.StatusOK
	}
	e.writer = bufio.NewWriterSize(e.conn.TCPConn, writeSize)
	e.frame(first)
	_, _ = fmt.Fprintf(e.writer, "HTTP/1.1 %03d %s\r\n", e.status, http.StatusText(e.status))
	_ = e.header.Write(e.writer)
	_, err := e.writer.WriteString("\r\n")
	return err
}

// frame sets the headers that tell where the response ends, and those that net/http adds.
func (e *exchange) frame(first []byte) {
	h := e.header
	if h["Date"] == nil {
		h["Date"] = []string{time.Now().UTC().Format(http.TimeFormat)}
	}
	e.closes = strings.EqualFold(h.Get("Connection"), "close")
	if e.closes && e.conn.StopAhead() && e.conn.Ahead() > 1 {
		delete(h, "Connection") // the responses behind this one are awaited
		e.closes = false
	}
	if !bodyAllowed(e.status) {
		delete(h, "Content-Length")
		return
	}
	if len(first) > 0 && h["Content-Type"] == nil && h["Content-Encoding"] == nil {
		h["Content-Type"] = []string{http.DetectContentType(first)}
	}
	if length, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err == nil && length >= 0 {
		e.remaining = length
		return
	}
	delete(h, "Content-Length")
	if e.request.Method == http.MethodHead {
		return
	}
	if first == nil {
		h["Content-Length"], e.remaining = []string{"0"}, 0
		return
	}
	h["Transfer-Encoding"], e.chunked = []string{"chunked"}, true
}

var errShort = errors.New("the response is shorter than its length")

// finish completes the response.
func (e *exchange) finish() error {
	if err := e.start(nil); err != nil {
		return err
	}
	if e.chunked {
		if _, err := e.writer.WriteString("0\r\n\r\n"); err != nil {
			return err
		}
	}
	if err := e.writer.Flush(); err != nil {
		return err
	}
	if e.remaining > 0 && e.request.Method != http.MethodHead && bodyAllowed(e.status) {
		return errShort
	}
	return nil
}

func bodyAllowed(status int) bool {
	return status >= http.StatusOK && status != http.StatusNoContent && status != http.StatusNotModified
}
