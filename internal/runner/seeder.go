package runner

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

const (
	// maxSeeds bounds the addresses in the seed object of a data centre.
	maxSeeds = 8
	// seedPeriod is the time between two polls of the seed objects by a relay.
	seedPeriod = 30 * timekeeper.Second
	// startPeriod is the time between two polls by a node that knows no other live node, or whose last poll failed. It
	// is long compared with the time a seed object takes to appear, since many nodes may start at once.
	startPeriod = 2 * timekeeper.Second
)

// seeds is the value of a seed object: peer addresses of members of one data centre.
type seeds struct {
	Format    int      `json:"format"`
	Addresses []string `json:"addresses"`
}

// seeder finds other nodes through the platform's seed objects and keeps the seed object of its data centre current.
type seeder struct {
	platform connector.Platform
	tracker  *tracker.Tracker
	zone     string
	peer     string
	logger   *zap.Logger
	wake     chan struct{} // ends the pause between two polls; nil if the platform states no eras
}

// run joins the mesh through the seed objects of all data centres. On relays it then keeps the seed object of the
// node's own data centre current.
func (s *seeder) run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := s.step(ctx)
		if err != nil {
			s.logger.Warn("seed objects are not available", zap.Error(err))
		}
		pause := pauseAfter(err, s.alone())
		// Jitter keeps nodes that start together from calling the platform together.
		pause += timekeeper.Millis(rand.Int64N(int64(pause)))
		s.wait(ctx, pause)
	}
	return nil
}

// wait returns after a time in ms, when the platform came back from an older copy, or when ctx ends.
func (s *seeder) wait(ctx context.Context, pause timekeeper.Millis) {
	timer := time.NewTimer(pause.Duration())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-s.wake:
	case <-ctx.Done():
	}
}

// pollNow ends the pause between two polls. The platform may have lost seed objects, without which new nodes find no
// others. It does not block.
func (s *seeder) pollNow() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// pauseAfter returns the time until the next poll. A node that knows no other live node polls again soon: nodes that
// start at the same time may all have found no seed object, and only one of them wrote it.
func pauseAfter(err error, alone bool) timekeeper.Millis {
	if err != nil || alone {
		return startPeriod
	}
	return seedPeriod
}

// alone reports whether this node knows no other live node.
func (s *seeder) alone() bool {
	for _, zone := range s.tracker.Zones() {
		for _, member := range s.tracker.Zone(zone) {
			if member.Peer != s.peer && member.Health == tracker.HealthAlive {
				return false
			}
		}
	}
	return true
}

// step polls the seed objects, joins the addresses in them and updates the own data centre's seed object if need be.
func (s *seeder) step(ctx context.Context) error {
	if !s.alone() && !s.tracker.IsRelay() {
		return nil
	}
	snapshot, err := s.platform.List(ctx, connector.KindSeed)
	if err != nil {
		return err
	}
	own := connector.Object{Kind: connector.KindSeed, Name: s.zone}
	var addresses, listed []string
	for _, object := range snapshot.Objects {
		var found seeds
		if json.Unmarshal(object.Value, &found) != nil || found.Format != 1 || len(found.Addresses) > maxSeeds {
			s.logger.Warn("a seed object is not valid", zap.String("zone", object.Name))
			continue
		}
		addresses = append(addresses, found.Addresses...)
		if object.Name == s.zone {
			own.Era, own.Revision, listed = object.Era, object.Revision, found.Addresses
		}
	}
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == s.peer })
	if len(addresses) > 0 {
		s.tracker.Join(addresses)
	}
	return s.store(ctx, own, listed)
}

// store writes the data centre's seed object when it lists an address without a live member, or too few addresses.
func (s *seeder) store(ctx context.Context, own connector.Object, listed []string) error {
	var live []string
	for _, member := range s.tracker.Zone(s.zone) {
		if member.Health == tracker.HealthAlive {
			live = append(live, member.Peer)
		}
	}
	current := slices.DeleteFunc(slices.Clone(listed), func(address string) bool {
		return !slices.Contains(live, address)
	})
	if len(current) == len(listed) && len(current) >= min(len(live), maxSeeds) {
		return nil
	}
	slices.Sort(live)
	value, err := json.Marshal(seeds{Format: 1, Addresses: live[:min(len(live), maxSeeds)]})
	if err != nil {
		return err
	}
	own.Value = value
	if _, err = s.platform.Put(ctx, own); classifier.CodeOf(err) == classifier.CodeConflict {
		return nil // another node wrote it; the next poll reads that version
	}
	return err
}
