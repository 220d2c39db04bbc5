package main

import (
	"bufio"
	"context"
	"maps"
	"net"
	"sync"
)

// recorder counts the runs that upstream processes report over TCP, one request id per line. Data that a process wrote
// before it was killed is still delivered, so the counts include the runs of killed upstreams.
type recorder struct {
	listener net.Listener
	mutex    sync.Mutex
	runs     map[string]int
	readers  sync.WaitGroup
}

func newRecorder(ctx context.Context) (*recorder, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &recorder{listener: listener, runs: make(map[string]int)}
	go r.accept()
	return r, nil
}

func (r *recorder) address() string {
	return r.listener.Addr().String()
}

func (r *recorder) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.readers.Go(func() { r.collect(conn) })
	}
}

func (r *recorder) collect(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		r.mutex.Lock()
		r.runs[lines.Text()]++
		r.mutex.Unlock()
	}
}

// counts returns the number of runs of each request id so far.
func (r *recorder) counts() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.runs)
}

// dialRecorder connects an upstream process to a recorder. The returned function reports one run.
func dialRecorder(ctx context.Context, address string) (func(id string), error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	var mutex sync.Mutex
	return func(id string) {
		mutex.Lock()
		defer mutex.Unlock()
		_, _ = conn.Write([]byte(id + "\n"))
	}, nil
}
