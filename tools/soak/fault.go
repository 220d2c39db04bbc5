package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// stormChanges is the number of versions in a storm; platformDelay is what a slow platform adds to a call, in ms.
	stormChanges                    = 6
	platformDelay timekeeper.Millis = 300
)

// allNodes is the node index of a fault that affects all nodes.
const allNodes = -1

// fault disturbs one node, or all nodes, for a duration.
type fault struct {
	kind     string
	node     int           // index, or allNodes
	offset   time.Duration // from the end of startPhase
	duration time.Duration
	rate     int64 // requests per second of a limit
}

func (f fault) String() string {
	return fmt.Sprintf("%s@%d %.1f+%.1fs", f.kind, f.node, f.offset.Seconds(), f.duration.Seconds())
}

// plannedKinds are the faults that are planned operations: restarts, reloads, replaced servers and new versions.
var plannedKinds = []string{"term", "hup", "replace", "change", "storm"}

// unplannedKinds are the faults of processes, connections, servers and the platform.
var unplannedKinds = []string{
	"kill", "freeze", "reset peers", "silence peers", "deafen peers", "refuse peers", "reset store", "silence store",
	"refuse store", "silence app", "reset app", "crash app", "lose answers", "fail runs", "platform down",
	"platform slow", "platform lost",
}

// drawFaults returns the random faults of a seed. Every fourth seed has planned faults only.
func drawFaults(random *rand.Rand, seed uint64, nodes int) []fault {
	kinds := append(append([]string{}, plannedKinds...), unplannedKinds...)
	if seed%plannedSeedInterval == 0 {
		kinds = plannedKinds
	}
	faults := make([]fault, 0, faultCount)
	for range faultCount {
		f := fault{
			kind: kinds[random.IntN(len(kinds))], node: random.IntN(nodes),
			offset:   time.Duration(random.Int64N(int64(faultPhase))),
			duration: 300*time.Millisecond + time.Duration(random.Int64N(int64(faultDurationRange))),
		}
		switch f.kind {
		case "change", "storm", "platform down", "platform slow", "platform lost":
			f.node = allNodes
		}
		faults = append(faults, f)
	}
	return faults
}

// statedKinds are faults that servers and the platform state themselves: a limit of requests, restored copies, and a
// departure that only responses state. Each seed with unplanned faults has these, drawn apart from the others, so that
// earlier seeds keep their faults.
var statedKinds = []string{"limit app", "restore platform", "leave app", "restore platform"}

const (
	// limitDuration is the shortest time of a limit: its bound holds after stablePeriod, for one limitWindow at least.
	limitDuration = stablePeriod + limitWindow
	// tightenDelay is the time from the begin of a limit to that of a lower one; tightenDivisor is the ratio.
	tightenDelay   = time.Second
	tightenDivisor = 4
	// maxLimit bounds the random limit, in requests per second. A server gets about 30.
	maxLimit = 20
	// leaveDuration is the shortest time from the first response that states a departure to the end of the server.
	leaveDuration = 2 * drainTimeout
	// restoredAge is the shortest age of the copy from which the platform is restored.
	restoredAge = 2 * time.Second
)

// drawStatedFaults returns the faults of statedKinds, or none for seeds with planned faults only.
func drawStatedFaults(seed uint64, nodes int) []fault {
	if seed%plannedSeedInterval == 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, statedStream))
	faults := make([]fault, 0, len(statedKinds))
	for _, kind := range statedKinds {
		f := fault{
			kind: kind, node: random.IntN(nodes), offset: time.Duration(random.Int64N(int64(faultPhase))),
			duration: time.Duration(random.Int64N(int64(faultDurationRange))),
		}
		switch kind {
		case "limit app":
			f.rate = 1 + int64(f.duration/time.Millisecond)%maxLimit
			f.duration += limitDuration
			faults = append(faults, f.tightened())
		case "restore platform":
			f.node = allNodes
		case "leave app":
			f.duration += leaveDuration
		}
		faults = append(faults, f)
	}
	return faults
}

// tightened returns a lower limit of the same server, which begins while the limit f is in force.
func (f fault) tightened() fault {
	f.offset += tightenDelay
	f.rate = max(f.rate/tightenDivisor, 1)
	return f
}

// statedStream is the stream of the random source of drawStatedFaults.
const statedStream = 1 << 20

const (
	// silenceStream is the stream of the random source of drawSilence.
	silenceStream = 2 << 20
	// silenceDelay is the shortest time from the end of faultPhase to the silence of all connections: other faults would
	// excuse most nodes. silenceRange is the random part.
	silenceDelay = stablePeriod
	silenceRange = time.Second
	// silenceChanges is the number of versions that follow, each after silencePause.
	silenceChanges = 3
	silencePause   = 200 * time.Millisecond
)

// drawSilence returns the silence of all open connections after the other faults, or none for seeds with planned faults
// only.
func drawSilence(seed uint64) []fault {
	if seed%plannedSeedInterval == 0 {
		return nil
	}
	random := rand.New(rand.NewPCG(seed, silenceStream))
	return []fault{{
		kind: "silence all", node: allNodes,
		offset: faultPhase + silenceDelay + time.Duration(random.Int64N(int64(silenceRange))),
	}}
}

// Every outageSeedInterval-th seed without planned faults only has an outage of the platform in which a key is
// withdrawn, so that no node hears of it: after withdrawPause, with outageRest left once it must be refused.
const (
	outageSeedInterval = 5
	withdrawPause      = time.Second
	outageRest         = 2 * time.Second
)

// drawOutage returns the outage of a seed, or none.
func drawOutage(seed uint64) []fault {
	if seed%plannedSeedInterval == 0 || seed%outageSeedInterval != 0 {
		return nil
	}
	return []fault{{
		kind: "platform away", node: allNodes, duration: withdrawPause + revokeTimeout + outageRest,
	}}
}

// injections inject faults by kind and return when they are over. The node is nil for faults that affect all nodes.
var injections = map[string]func(ctx context.Context, m *mesh, n *node, f fault){
	"change": func(_ context.Context, m *mesh, _ *node, _ fault) { m.writeVersion() },
	"storm": func(ctx context.Context, m *mesh, _ *node, f fault) {
		for range stormChanges {
			m.writeVersion()
			pause(ctx, f.duration/stormChanges)
		}
	},
	"platform down": func(ctx context.Context, m *mesh, _ *node, f fault) {
		m.injectPlatformFault(ctx, f.duration, faker.Fault{Refuse: true})
	},
	"platform away": func(ctx context.Context, m *mesh, _ *node, f fault) {
		time.AfterFunc(withdrawPause, m.writeVersion)
		m.injectPlatformFault(ctx, f.duration, faker.Fault{Refuse: true})
	},
	"platform slow": func(ctx context.Context, m *mesh, _ *node, f fault) {
		m.injectPlatformFault(ctx, f.duration, faker.Fault{Delay: platformDelay})
	},
	"platform lost": func(ctx context.Context, m *mesh, _ *node, f fault) {
		m.injectPlatformFault(ctx, f.duration, faker.Fault{Lose: true})
	},
	"kill": func(ctx context.Context, m *mesh, n *node, f fault) { m.restart(ctx, n, syscall.SIGKILL, f.duration) },
	"term": func(ctx context.Context, m *mesh, n *node, f fault) { m.restart(ctx, n, syscall.SIGTERM, f.duration) },
	"freeze": func(ctx context.Context, _ *mesh, n *node, f fault) {
		n.processMutex.Lock()
		defer n.processMutex.Unlock()
		n.process.Signal(syscall.SIGSTOP)
		pause(ctx, f.duration)
		n.process.Signal(syscall.SIGCONT)
	},
	"limit app": func(ctx context.Context, _ *mesh, n *node, f fault) {
		n.currentServer().Limit(ctx, f.rate, f.duration)
	},
	"restore platform": func(ctx context.Context, m *mesh, _ *node, f fault) {
		if away := f.duration / 2; f.duration%2 == 0 {
			m.injectPlatformFault(ctx, away, faker.Fault{Refuse: true})
		}
		m.restorePlatform(f.duration + restoredAge)
	},
	"hup":           func(_ context.Context, _ *mesh, n *node, _ fault) { n.process.Signal(syscall.SIGHUP) },
	"reset peers":   func(_ context.Context, _ *mesh, n *node, _ fault) { n.peerLink.Cut() },
	"silence peers": func(_ context.Context, _ *mesh, n *node, _ fault) { n.peerLink.Silence() },
	"deafen peers":  func(_ context.Context, _ *mesh, n *node, _ fault) { n.peerLink.SilenceReplies() },
	"refuse peers": func(ctx context.Context, m *mesh, n *node, f fault) {
		m.refuseConnections(ctx, n.peerLink, f.duration)
	},
	"reset store":   func(_ context.Context, _ *mesh, n *node, _ fault) { n.storeLink.Cut() },
	"silence store": func(_ context.Context, _ *mesh, n *node, _ fault) { n.storeLink.Silence() },
	"refuse store": func(ctx context.Context, m *mesh, n *node, f fault) {
		m.refuseConnections(ctx, n.storeLink, f.duration)
	},
	"silence app": func(_ context.Context, _ *mesh, n *node, _ fault) { n.appLink.Silence() },
	"silence all": func(ctx context.Context, m *mesh, _ *node, _ fault) {
		for _, n := range m.nodes {
			for _, link := range []*faker.Link{n.peerLink, n.storeLink, n.appLink} {
				link.Silence()
			}
		}
		for range silenceChanges {
			pause(ctx, silencePause)
			m.writeVersion()
		}
	},
	"reset app": func(_ context.Context, _ *mesh, n *node, _ fault) { n.appLink.Cut() },
	"replace":   injectServerFault, "crash app": injectServerFault,
	"lose answers": injectServerFault, "fail runs": injectServerFault, "leave app": injectServerFault,
}

// inject injects a fault and returns when it is over.
func (m *mesh) inject(ctx context.Context, f fault) {
	var n *node
	if f.node != allNodes {
		n = m.nodes[f.node]
	}
	injections[f.kind](ctx, m, n, f)
}

// injectServerFault replaces or crashes the server beside a node, lets it leave, or makes its runs lose their responses
// or end with status 500. It returns when the fault is over.
func injectServerFault(ctx context.Context, m *mesh, n *node, f fault) {
	n.serverMutex.Lock() // one fault per server at a time
	defer n.serverMutex.Unlock()
	server := n.currentServer()
	switch f.kind {
	case "replace":
		server.Drain(drainDuration)
		m.startServer(ctx, n)
	case "crash app":
		server.Crash()
		pause(ctx, f.duration)
		m.startServer(ctx, n)
	case "leave app":
		server.Leave(ctx, f.duration)
		m.startServer(ctx, n)
	case "lose answers":
		server.Lose(true)
		pause(ctx, f.duration)
		server.Lose(false)
	case "fail runs":
		server.Fail(true)
		pause(ctx, f.duration)
		server.Fail(false)
	}
}

// injectPlatformFault applies a fault to all calls to the platform and returns when it is over.
func (m *mesh) injectPlatformFault(ctx context.Context, duration time.Duration, f faker.Fault) {
	m.store.SetFault(func(faker.Operation) faker.Fault { return f })
	pause(ctx, duration)
	m.store.SetFault(nil)
}

// refuseConnections closes the connections of a link and refuses new ones for a duration.
func (m *mesh) refuseConnections(ctx context.Context, link *faker.Link, duration time.Duration) {
	link.Refuse(true)
	link.Cut()
	pause(ctx, duration)
	link.Refuse(false)
}

// restart signals the process of a node to end and starts it again. A process that outlasts gracePeriod is killed and
// reported as a finding.
func (m *mesh) restart(ctx context.Context, n *node, signal syscall.Signal, downtime time.Duration) {
	n.processMutex.Lock() // one restart per node at a time
	defer n.processMutex.Unlock()
	n.exitExpected.Store(true)
	n.process.Signal(signal)
	select {
	case <-n.process.Done:
	case <-time.After(gracePeriod):
		m.addFinding("%s was still there %.1f s after SIGTERM", n.name, gracePeriod.Seconds())
		n.process.Signal(syscall.SIGKILL)
		<-n.process.Done
	case <-ctx.Done():
		return
	}
	pause(ctx, min(downtime, restartPause))
	if ctx.Err() != nil {
		return
	}
	if err := n.process.Start(ctx); err != nil {
		m.addFinding("%s did not start: %v", n.name, err)
		return
	}
	n.recordStart()
	n.exitExpected.Store(false)
	go m.watchProcess(n, n.process.Done)
}

// watchProcess waits for the end of a process and reports a finding if the soak did not ask for it.
func (m *mesh) watchProcess(n *node, done chan struct{}) {
	<-done
	if !n.exitExpected.Load() {
		m.addFinding("%s ended by itself", n.name)
	}
}

// pause waits until the duration has passed or ctx ends.
func pause(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
