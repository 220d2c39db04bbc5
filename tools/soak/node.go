package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/launcher"
	"github.com/jasmineproxy/jasmineproxy/platform/imitator"
)

// Ports of a node's addresses, and of the links in front of and behind it.
const (
	portCaller = 7001 + iota
	portPeer
	portAdmin
	portReady
	portControl
	portPeerLink  // other nodes to this one
	portStoreLink // this node to the store
	portAppLink   // this node to its server
	portStore
)

// node is one node process with its server, its clients and the links around it.
type node struct {
	name, zone, service, ip string
	process                 *launcher.Process
	ordered                 atomic.Bool // the present end of the process was asked for
	peers, store, app       *faker.Link
	client                  *imitator.Client
	work, serving           sync.Mutex // held during faults of the process, and of the server

	mutex  sync.Mutex
	server *imitator.Server
	listen string // address of the server
	starts []time.Time
	count  int // servers so far
}

func (n *node) at(port int) string {
	return fmt.Sprintf("%s:%d", n.ip, port)
}

// prepare opens the links of the node and writes its settings.
func (n *node) prepare(ctx context.Context, dir, store string, delay faker.LinkOptions) (settings string, err error) {
	for _, one := range []struct {
		link    **faker.Link
		port    int
		target  func() string
		options faker.LinkOptions
	}{
		{&n.peers, portPeerLink, func() string { return n.at(portPeer) }, delay},
		{&n.store, portStoreLink, func() string { return store }, delay},
		{&n.app, portAppLink, n.address, faker.LinkOptions{}},
	} {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", n.at(one.port))
		if err != nil {
			return "", err
		}
		*one.link = faker.NewLink(one.options, func(ctx context.Context) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", one.target())
		})
		go (*one.link).Serve(ctx, listener)
	}
	settings = filepath.Join(dir, n.name+".yaml")
	text := fmt.Sprintf(`name: %s
zone: %s
service: %s
caller: %s
peer: %s
announce: %s
admin: %s
upstream: {address: "%s"}
platform: {url: "http://%s", timeout: 1500}
hosted: {ready: "%s", control: "%s", heartbeat: %.1f, apply: %.1f, grace: %.1f}
`, n.name, n.zone, n.service, n.at(portCaller), n.at(portPeer), n.at(portPeerLink), n.at(portAdmin),
		n.at(portAppLink), n.at(portStoreLink), n.at(portReady), n.at(portControl), heartbeat.Seconds(), apply.Seconds(),
		grace.Seconds())
	return settings, os.WriteFile(settings, []byte(text), 0o600)
}

// address returns where the present server listens.
func (n *node) address() string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.listen
}

// serve starts a new server beside the node.
func (n *node) serve(ctx context.Context, options imitator.ServerOptions) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", n.ip+":0")
	if err != nil {
		return err
	}
	n.mutex.Lock()
	n.count++
	options.ID = fmt.Sprintf("i-%s-%d", n.name, n.count)
	n.server, n.listen = imitator.NewServer(options), listener.Addr().String()
	server := n.server
	n.mutex.Unlock()
	go server.Serve(listener)
	return nil
}

// current returns the present server.
func (n *node) current() *imitator.Server {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.server
}

// started notes a start of the process.
func (n *node) started() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.starts = append(n.starts, time.Now())
}

// generation returns the number of the process that was there at a time.
func (n *node) generation(at time.Time) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	count := 0
	for _, start := range n.starts {
		if !start.After(at) {
			count++
		}
	}
	return count
}
