package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/loader"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

const (
	// maxSeeds bounds the addresses in the seed object of a data centre.
	maxSeeds = 8
	// maxMembers bounds the members that a seed object states.
	maxMembers = 1 << 20
	// seedPeriod is the time between two polls of the seed objects by a relay.
	seedPeriod = 30 * timekeeper.Second
	// startPeriod is the time between two polls by a node that knows no other live node, or whose last poll failed. It
	// is long compared with the time a seed object takes to appear, since many nodes may start at once.
	startPeriod = 2 * timekeeper.Second
	// lonelyPolls is the number of polls in a row that list no other node after which there is none: nodes that start at
	// the same time see no seed object at their first poll.
	lonelyPolls = 2
	// mergeTime is the time after which nodes that started together know each other. They may form groups at first, whose
	// relays poll the seed objects again within two periods; the members then spread in a second.
	mergeTime = 2*startPeriod + timekeeper.Second
)

// seeds is the value of a seed object: peer addresses of members of one data centre, and at least how many there are.
type seeds struct {
	Format    int      `json:"format"`
	Addresses []string `json:"addresses"`
	// Members is rounded up, so that a data centre that grows by a few causes no writes; 0 if it is not known.
	Members int `json:"members,omitempty"`
}

// seeder finds other nodes through the platform's seed objects and keeps the seed object of its data centre current.
type seeder struct {
	platform connector.Platform
	tracker  *tracker.Tracker
	zone     string
	peer     string
	clock    timekeeper.Clock
	started  timekeeper.Millis
	logger   *zap.Logger
	wake     chan struct{}     // ends the pause between two polls; nil if the platform states no eras
	lonely   atomic.Int32      // polls in a row that listed no other node
	members  atomic.Int32      // of all data centres by the seed objects, at least; 0 if it is not known
	settled  func() bool       // whether this node knows the mesh; nil for never
	invalid  map[string]uint64 // revisions of the seed objects that were not valid at the last poll, by name
}

// run joins the mesh through the seed objects of all data centres. On relays it then keeps the seed object of the
// node's own data centre current.
func (s *seeder) run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := s.step(ctx)
		if err != nil {
			s.logger.Warn("seed objects are not available", zap.Error(err))
		}
		pause := pauseAfter(err, s.alone() || s.settled != nil && !s.settled())
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

// pauseAfter returns the time until the next poll. A node that knows no other live node, or not the mesh yet, polls
// again soon: nodes that start at the same time may all have found no seed object, and only one of them wrote it.
func pauseAfter(err error, starting bool) timekeeper.Millis {
	if err != nil || starting {
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

// isOnly reports whether the platform lists no other node.
func (s *seeder) isOnly() bool {
	return s.lonely.Load() >= lonelyPolls
}

// listed returns at least the number of nodes by the seed objects; 0 if it is not known.
func (s *seeder) listed() int {
	return int(s.members.Load())
}

// merged reports whether this node had time to find all others. Nodes of a new mesh that start together may form
// groups, each of which looks complete; the platform does not state the number of nodes then.
func (s *seeder) merged() bool {
	return s.listed() > 0 || s.isOnly() || s.clock.Now()-s.started >= mergeTime
}

// countMembers adds the members that seed objects state; 0 if one of them states none.
func countMembers(objects []connector.Object) int {
	sum := 0
	for _, object := range objects {
		found, err := decodeSeeds(object.Value)
		if err != nil || found.Members == 0 {
			return 0
		}
		sum += found.Members
	}
	return sum
}

// roundUp rounds a number of members up to three binary digits.
func roundUp(n int) int {
	step := 1 << max(bits.Len(uint(n))-3, 0)
	return (n + step - 1) / step * step
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
	addresses, own, listed := s.collect(snapshot.Objects)
	s.members.Store(int32(countMembers(snapshot.Objects)))
	s.lonely.Add(1)
	if len(addresses) > 0 {
		s.lonely.Store(0)
		s.tracker.Join(addresses)
	}
	return s.store(ctx, own, listed)
}

// collect returns the addresses of other nodes in the seed objects, the seed object of the own data centre, and the
// addresses that this one lists. An object or address that cannot be used is logged once for each revision and left
// out; the own object is then written again.
func (s *seeder) collect(objects []connector.Object) (addresses []string, own connector.Object, listed seeds) {
	own = connector.Object{Kind: connector.KindSeed, Name: s.zone}
	invalid := make(map[string]uint64)
	for _, object := range objects {
		found, err := decodeSeeds(object.Value)
		if err != nil {
			invalid[object.Name] = object.Revision
			if revision, known := s.invalid[object.Name]; !known || revision != object.Revision {
				s.logger.Warn("a seed object is not valid", zap.String("zone", object.Name),
					zap.Uint64("revision", object.Revision), zap.Error(err))
			}
		}
		if object.Name == s.zone {
			own.Era, own.Revision, listed = object.Era, object.Revision, found
		}
		for _, address := range found.Addresses {
			if address != s.peer && loader.IsEndpoint(address) {
				addresses = append(addresses, address)
			}
		}
	}
	s.invalid = invalid
	return addresses, own, listed
}

// decodeSeeds returns a seed object, some addresses of which may not be usable; the error then tells so.
func decodeSeeds(value []byte) (seeds, error) {
	var found seeds
	if err := json.Unmarshal(value, &found); err != nil {
		return seeds{}, err
	}
	if found.Format != 1 || len(found.Addresses) > maxSeeds || found.Members < 0 || found.Members > maxMembers {
		return seeds{}, fmt.Errorf("format %d with %d addresses of %d members", found.Format, len(found.Addresses),
			found.Members)
	}
	for _, address := range found.Addresses {
		if !loader.IsEndpoint(address) {
			return found, fmt.Errorf("%.64q is not an IP address and a port", address)
		}
	}
	return found, nil
}

// store writes the data centre's seed object when it lists an address without a live member, or too few addresses or
// members. Only a node that knows the mesh states how many members there are.
func (s *seeder) store(ctx context.Context, own connector.Object, listed seeds) error {
	var live []string
	for _, member := range s.tracker.Zone(s.zone) {
		if member.Health == tracker.HealthAlive {
			live = append(live, member.Peer)
		}
	}
	members := listed.Members
	if s.settled != nil && s.settled() {
		members = max(members, roundUp(len(live)))
	}
	current := slices.DeleteFunc(slices.Clone(listed.Addresses), func(address string) bool {
		return !slices.Contains(live, address)
	})
	if len(current) == len(listed.Addresses) && len(current) >= min(len(live), maxSeeds) && members == listed.Members {
		return nil
	}
	slices.Sort(live)
	value, err := json.Marshal(seeds{Format: 1, Addresses: live[:min(len(live), maxSeeds)], Members: members})
	if err != nil {
		return err
	}
	own.Value = value
	if _, err = s.platform.Put(ctx, own); classifier.CodeOf(err) == classifier.CodeConflict {
		return nil // another node wrote it; the next poll reads that version
	}
	return err
}
