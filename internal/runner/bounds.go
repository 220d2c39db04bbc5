package runner

import (
	"net/http"

	"golang.org/x/sys/unix"

	"github.com/jasmineproxy/jasmineproxy/internal/acceptor"
)

const (
	// callerFilesPercent is the percentage of the descriptors that connections of callers may use, and
	// callerMemoryPercent that of the memory, of which each takes connectionBytes. The rest is for the upstream, other
	// nodes and the platform.
	callerFilesPercent  = 55
	callerMemoryPercent = 15
	connectionBytes     = 48 << 10
	// attemptFilesPercent is the percentage of the descriptors for attempts of callers' requests, of which each takes up
	// to filesOfAttempt: two ends of a connection to a host node, which may be this one, and one to the upstream.
	attemptFilesPercent = 30
	filesOfAttempt      = 3
	// headsPercent is the percentage of the memory for the heads of callers' requests.
	headsPercent = 5
	// readyConnections and readyHeads bound the address of the readiness check, which the platform asks once a second.
	readyConnections = 64
	readyHeads       = 256 << 10
	// minConnections is the least bound, for processes whose limits are not known to be larger.
	minConnections = 64
)

// addBounds creates the bounds of the connections of clients.
func (n *Hosted) addBounds() {
	memory := memoryLimit(&n.settings)
	byMemory := int(memory * callerMemoryPercent / 100 / connectionBytes)
	byFiles := n.maxFiles() * callerFilesPercent / 100
	n.callerBounds = acceptor.NewBounds(n.dependencies.Clock, acceptor.Limits{
		Connections: max(min(byMemory, byFiles), minConnections), Heads: memory * headsPercent / 100,
	})
	n.readyBounds = acceptor.NewBounds(n.dependencies.Clock, acceptor.Limits{
		Connections: readyConnections, Heads: readyHeads,
	})
}

// maxFiles returns the number of descriptors that the process may open.
func (n *Hosted) maxFiles() int {
	if n.settings.Hosted.Files > 0 {
		return n.settings.Hosted.Files
	}
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, 1<<20))
}

// addBoundMetrics registers the metrics of the bounds.
func (n *Hosted) addBoundMetrics() {
	n.meter.Function("caller_connections", n.callerBounds.Open)
	n.meter.Function("caller_connections_closed", n.callerBounds.Closed)
	n.meter.Function("caller_connections_refused", n.callerBounds.Refused)
	n.meter.Function("ready_connections_refused", n.readyBounds.Refused)
}

// neverAhead lets no request start before the ones before it on its connection are answered.
func neverAhead(*http.Request) bool { return false }
