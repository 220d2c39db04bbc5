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
	// stormChanges is the number of versions in a storm, and slowPlatform what a slow platform adds to a call, in ms.
	stormChanges                   = 6
	slowPlatform timekeeper.Millis = 300
)

// everywhere is the node of a fault that touches all nodes.
const everywhere = -1

// fault is a disturbance of one node, or of the platform, over a span.
type fault struct {
	kind string
	node int // everywhere for the platform
	from time.Duration
	span time.Duration
}

func (f fault) String() string {
	return fmt.Sprintf("%s@%d %.1f+%.1fs", f.kind, f.node, f.from.Seconds(), f.span.Seconds())
}

// kinds of faults. The first ones are planned work.
var planned = []string{"term", "hup", "replace", "change", "storm"}

var unplanned = []string{
	"kill", "freeze", "reset peers", "silence peers", "deafen peers", "refuse peers", "reset store", "silence store",
	"refuse store", "silence app", "reset app", "crash app", "lose answers", "fail runs", "platform down",
	"platform slow", "platform lost",
}

// draw returns the faults of a seed. Every fourth seed has planned work only.
func draw(random *rand.Rand, seed uint64, nodes int) []fault {
	kinds := append(append([]string{}, planned...), unplanned...)
	if seed%plannedEvery == 0 {
		kinds = planned
	}
	faults := make([]fault, 0, faultCount)
	for range faultCount {
		f := fault{
			kind: kinds[random.IntN(len(kinds))], node: random.IntN(nodes),
			from: time.Duration(random.Int64N(int64(faultSpan))),
			span: 300*time.Millisecond + time.Duration(random.Int64N(int64(longestFault))),
		}
		switch f.kind {
		case "change", "storm", "platform down", "platform slow", "platform lost":
			f.node = everywhere
		}
		faults = append(faults, f)
	}
	return faults
}

// injections carry faults out and return when they are over. The node is nil for faults that touch all nodes.
var injections = map[string]func(ctx context.Context, m *mesh, n *node, f fault){
	"change": func(_ context.Context, m *mesh, _ *node, _ fault) { m.change() },
	"storm": func(ctx context.Context, m *mesh, _ *node, f fault) {
		for range stormChanges {
			m.change()
			pause(ctx, f.span/stormChanges)
		}
	},
	"platform down": func(ctx context.Context, m *mesh, _ *node, f fault) {
		m.fault(ctx, f.span, faker.Fault{Refuse: true})
	},
	"platform slow": func(ctx context.Context, m *mesh, _ *node, f fault) {
		m.fault(ctx, f.span, faker.Fault{Delay: slowPlatform})
	},
	"platform lost": func(ctx context.Context, m *mesh, _ *node, f fault) {
		m.fault(ctx, f.span, faker.Fault{Lose: true})
	},
	"kill": func(ctx context.Context, m *mesh, n *node, f fault) { m.restart(ctx, n, syscall.SIGKILL, f.span) },
	"term": func(ctx context.Context, m *mesh, n *node, f fault) { m.restart(ctx, n, syscall.SIGTERM, f.span) },
	"freeze": func(ctx context.Context, _ *mesh, n *node, f fault) {
		n.work.Lock()
		defer n.work.Unlock()
		n.process.Signal(syscall.SIGSTOP)
		pause(ctx, f.span)
		n.process.Signal(syscall.SIGCONT)
	},
	"hup":           func(_ context.Context, _ *mesh, n *node, _ fault) { n.process.Signal(syscall.SIGHUP) },
	"reset peers":   func(_ context.Context, _ *mesh, n *node, _ fault) { n.peers.Cut() },
	"silence peers": func(_ context.Context, _ *mesh, n *node, _ fault) { n.peers.Silence() },
	"deafen peers":  func(_ context.Context, _ *mesh, n *node, _ fault) { n.peers.SilenceReplies() },
	"refuse peers":  func(ctx context.Context, m *mesh, n *node, f fault) { m.refuse(ctx, n.peers, f.span) },
	"reset store":   func(_ context.Context, _ *mesh, n *node, _ fault) { n.store.Cut() },
	"silence store": func(_ context.Context, _ *mesh, n *node, _ fault) { n.store.Silence() },
	"refuse store":  func(ctx context.Context, m *mesh, n *node, f fault) { m.refuse(ctx, n.store, f.span) },
	"silence app":   func(_ context.Context, _ *mesh, n *node, _ fault) { n.app.Silence() },
	"reset app":     func(_ context.Context, _ *mesh, n *node, _ fault) { n.app.Cut() },
	"replace":       injectApp, "crash app": injectApp, "lose answers": injectApp, "fail runs": injectApp,
}

// inject carries a fault out and returns when it is over.
func (m *mesh) inject(ctx context.Context, f fault) {
	var n *node
	if f.node != everywhere {
		n = m.nodes[f.node]
	}
	injections[f.kind](ctx, m, n, f)
}

// injectApp carries out a fault of the server beside a node.
func injectApp(ctx context.Context, m *mesh, n *node, f fault) {
	n.serving.Lock() // one fault of a server at a time
	defer n.serving.Unlock()
	server := n.current()
	switch f.kind {
	case "replace":
		server.Drain(drainSpan)
		m.serve(ctx, n)
	case "crash app":
		server.Crash()
		pause(ctx, f.span)
		m.serve(ctx, n)
	case "lose answers":
		server.Lose(true)
		pause(ctx, f.span)
		server.Lose(false)
	case "fail runs":
		server.Fail(true)
		pause(ctx, f.span)
		server.Fail(false)
	}
}

func (m *mesh) fault(ctx context.Context, span time.Duration, f faker.Fault) {
	m.store.SetFault(func(faker.Operation) faker.Fault { return f })
	pause(ctx, span)
	m.store.SetFault(nil)
}

func (m *mesh) refuse(ctx context.Context, link *faker.Link, span time.Duration) {
	link.Refuse(true)
	link.Cut()
	pause(ctx, span)
	link.Refuse(false)
}

// restart ends the process of a node and starts it again. One that outlasts its time is killed and noted.
func (m *mesh) restart(ctx context.Context, n *node, signal syscall.Signal, span time.Duration) {
	n.work.Lock() // one restart of a node at a time
	defer n.work.Unlock()
	n.ordered.Store(true)
	n.process.Signal(signal)
	select {
	case <-n.process.Done:
	case <-time.After(grace):
		m.note("%s was still there %.1f s after SIGTERM", n.name, grace.Seconds())
		n.process.Signal(syscall.SIGKILL)
		<-n.process.Done
	case <-ctx.Done():
		return
	}
	pause(ctx, min(span, restartPause))
	if ctx.Err() != nil {
		return
	}
	if err := n.process.Start(ctx); err != nil {
		m.note("%s did not start: %v", n.name, err)
		return
	}
	n.started()
	n.ordered.Store(false)
	go m.guard(n, n.process.Done)
}

// guard notes a process that ends by itself.
func (m *mesh) guard(n *node, done chan struct{}) {
	<-done
	if !n.ordered.Load() {
		m.note("%s ended by itself", n.name)
	}
}

// pause waits for a span or until ctx ends.
func pause(ctx context.Context, span time.Duration) {
	select {
	case <-time.After(span):
	case <-ctx.Done():
	}
}
