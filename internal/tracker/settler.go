package tracker

import (
	"context"
	"sync"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// settleTime is the time without a new member after which a process that started knows the mesh.
	settleTime = 1500 * timekeeper.Millis(1)
	// settleInterval is the time between two looks at the members.
	settleInterval = 200 * timekeeper.Millis(1)
	// settleLimit is the time after which a process that knows others knows the mesh in any case.
	settleLimit = 10 * timekeeper.Second
	// aloneLimit is the time after which a process that reaches none of those that the platform lists counts as the only
	// one: the others may have gone for good.
	aloneLimit = timekeeper.Minute
)

// Settler tells when a process knows the mesh. Before, it must not decide what follows from the members of the whole
// mesh: each node of a mesh that starts knows only itself at first. It is safe for concurrent use.
type Settler struct {
	directory zoneDirectory
	clock     timekeeper.Clock
	alone     func() bool // whether the platform lists no other node
	started   timekeeper.Millis
	mutex     sync.Mutex
	known     int               // most members so far
	grown     timekeeper.Millis // when that was first seen
	settled   bool
}

type zoneDirectory interface {
	Zones() []string
	Zone(name string) []Member
}

// NewSettler returns a settler for a process that starts now.
func NewSettler(directory zoneDirectory, clock timekeeper.Clock, alone func() bool) *Settler {
	return &Settler{directory: directory, clock: clock, alone: alone, started: clock.Now()}
}

// Run notices new members until the process knows the mesh, and returns nil when ctx ends. Without it, only calls of
// Settled notice them.
func (s *Settler) Run(ctx context.Context) error {
	ticker := time.NewTicker(settleInterval.Duration())
	defer ticker.Stop()
	for !s.Settled() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
	<-ctx.Done()
	return nil
}

// Settled reports whether the process knows the mesh. Once it does, it always does.
func (s *Settler) Settled() bool {
	now := s.clock.Now()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.settled {
		return true
	}
	known := 0
	for _, zone := range s.directory.Zones() {
		known += len(s.directory.Zone(zone))
	}
	if known > s.known {
		s.known, s.grown = known, now
	}
	if known <= 1 && !s.alone() && now-s.started < aloneLimit {
		return false
	}
	s.settled = now-s.grown >= settleTime || now-s.started >= settleLimit
	return s.settled
}
