package main

import (
	"bufio"
	"context"
	"maps"
	"net"
	"sync"
)

// recorder counts the runs that upstream processes report over TCP, one id a line. What a process wrote before it was
// killed still arrives, so no run is lost with its upstream.
type recorder struct {
	listener net.Listener
	mutex    sync.Mutex
	runs     map[string]int
	work     sync.WaitGroup
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
		r.work.Go(func() { r.collect(conn) })
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

// counts returns how often each id ran so far.
func (r *recorder) counts() map[string]int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return maps.Clone(r.runs)
}

// report connects an upstream process to a recorder and returns a function that reports one run.
func report(ctx context.Context, address string) (func(id string), error) {
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
