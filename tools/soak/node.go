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

// Ports of a node, of the links to and from it, and of the platform.
const (
	portCaller = 7001 + iota
	portPeer
	portAdmin
	portReady
	portControl
	portPeerLink  // other nodes to this one
	portStoreLink // this node to the platform
	portAppLink   // this node to its server
	portStore
)

// node is a node process with its server, its client and the links to and from it.
type node struct {
	name, zone, service, ip      string
	version                      string // of its servers
	process                      *launcher.Process
	exitExpected                 atomic.Bool // set while the soak stops the process on purpose
	peerLink, storeLink, appLink *faker.Link
	client                       *imitator.Client
	processMutex, serverMutex    sync.Mutex // one fault at a time of the process, and of the server

	mutex         sync.Mutex
	server        *imitator.Server
	serverAddress string // listening address of the server
	starts        []time.Time
	serverCount   int // number of servers started so far
}

func (n *node) addressOf(port int) string {
	return fmt.Sprintf("%s:%d", n.ip, port)
}

// prepare opens the links of the node, writes its settings file and returns the path of the file.
func (n *node) prepare(ctx context.Context, dir, store string, delay faker.LinkOptions) (settings string, err error) {
	for _, spec := range []struct {
		link    **faker.Link
		port    int
		target  func() string
		options faker.LinkOptions
	}{
		{&n.peerLink, portPeerLink, func() string { return n.addressOf(portPeer) }, delay},
		{&n.storeLink, portStoreLink, func() string { return store }, delay},
		{&n.appLink, portAppLink, n.currentAddress, faker.LinkOptions{}},
	} {
		listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", n.addressOf(spec.port))
		if err != nil {
			return "", err
		}
		*spec.link = faker.NewLink(spec.options, func(ctx context.Context) (net.Conn, error) {
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", spec.target())
		})
		go (*spec.link).Serve(ctx, listener)
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
hosted:
  {ready: "%s", control: "%s", heartbeat: %.1f, apply: %.1f, grace: %.1f, revoke: %.1f, closed: true, slack: %d,
   exposure: %.1f}
`, n.name, n.zone, n.service, n.addressOf(portCaller), n.addressOf(portPeer), n.addressOf(portPeerLink),
		n.addressOf(portAdmin), n.addressOf(portAppLink), n.addressOf(portStoreLink), n.addressOf(portReady),
		n.addressOf(portControl), heartbeatInterval.Seconds(), applyTimeout.Seconds(), gracePeriod.Seconds(),
		revokeTimeout.Seconds(), allotmentSlack, exposureShare)
	return settings, os.WriteFile(settings, []byte(text), 0o600)
}

// currentAddress returns the address on which the current server listens.
func (n *node) currentAddress() string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.serverAddress
}

// startServer starts a new server beside the node, which replaces the current one as the target of the link.
func (n *node) startServer(ctx context.Context, options imitator.ServerOptions) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", n.ip+":0")
	if err != nil {
		return err
	}
	n.mutex.Lock()
	n.serverCount++
	options.ID = fmt.Sprintf("i-%s-%d", n.name, n.serverCount)
	n.server, n.serverAddress = imitator.NewServer(options), listener.Addr().String()
	server := n.server
	n.mutex.Unlock()
	go server.Serve(listener)
	return nil
}

// currentServer returns the server that was started last.
func (n *node) currentServer() *imitator.Server {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.server
}

// recordStart records the time of a start of the process.
func (n *node) recordStart() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.starts = append(n.starts, time.Now())
}

// generation returns the number of the process that ran at a time, counted from 1.
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
