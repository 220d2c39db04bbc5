package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

var (
	lastID   atomic.Int64
	answered sync.Map // ids of the requests with a complete answer of a server
)

func hasAnswer(id string) bool {
	_, ok := answered.Load(id)
	return ok
}

func newID() string { return fmt.Sprintf("%016x", 0x9c41d07be2a30000+uint64(lastID.Add(1))) }

// answer is what a client saw of one attempt. Status is 0 if no complete answer came.
type answer struct {
	id, method, path string
	status           int
	stamp, body      string
	err              error
	sent, ended      time.Time
}

// plainClient opens a connection for each attempt and never repeats a request by itself.
var plainClient = &http.Client{Transport: &http.Transport{
	DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
}}

// send makes one attempt and records it.
func send(n *node, method, path string, body io.Reader, length int64, wait time.Duration) answer {
	a := answer{id: newID(), method: method, path: path, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.caller+path, body)
	must(err)
	if body != nil {
		request.ContentLength = length
	}
	request.Host = "shop.example"
	request.Header.Set("X-Jasmineproxy-Request-Id", a.id)
	request.Header.Set("X-Jasmineproxy-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	record.add("client: %s %s %s (%d bytes) to node %s", method, path, a.id, length, n.name)
	response, err := plainClient.Do(request)
	if err == nil {
		var content []byte
		content, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil {
			a.status, a.stamp, a.body = response.StatusCode, response.Header.Get("X-Jasmineproxy-Server-Stamp"), string(content)
		}
	}
	a.err, a.ended = err, time.Now()
	if a.stamp != "" && a.status != 0 {
		answered.Store(a.id, true)
	}
	record.add("client: %s ended after %d ms with status %d, stamp %q, error %v", a.id,
		a.ended.Sub(a.sent).Milliseconds(), a.status, a.stamp, err)
	return a
}
