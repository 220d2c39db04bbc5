package deduplicator

import (
	"math"
	"slices"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Epoch lists the names that apply to ids created at From or later, until the next epoch.
type Epoch struct {
	From  timekeeper.Millis `json:"from"  msgpack:"f"`
	Names []string          `json:"names" msgpack:"n"`
}

// Schedule lists which names apply to ids by their creation time, oldest epoch first. It does not cover ids created
// after Until, because an epoch that this node has not read may apply to them.
type Schedule struct {
	Epochs []Epoch           `json:"epochs" msgpack:"e"`
	Until  timekeeper.Millis `json:"until"  msgpack:"u"`
}

// Forever is the Until of a schedule whose changes this node itself records.
const Forever = timekeeper.Millis(math.MaxInt64)

// At returns the names that apply to ids created at the given time, or nil if the schedule does not cover it.
func (s Schedule) At(created timekeeper.Millis) []string {
	if created > s.Until {
		return nil
	}
	for i := len(s.Epochs) - 1; i >= 0; i-- {
		if s.Epochs[i].From <= created {
			return s.Epochs[i].Names
		}
	}
	return nil
}

// Extend returns the schedule with a new epoch for ids created at from or later, unless the sorted names equal those of
// the last epoch. Epochs that ended before keep are dropped. The receiver is not changed.
func (s Schedule) Extend(from, keep timekeeper.Millis, names []string) Schedule {
	last := len(s.Epochs) - 1
	if last < 0 {
		return Schedule{Epochs: []Epoch{{Names: names}}, Until: s.Until}
	}
	first := 0
	for first < last && s.Epochs[first+1].From < keep {
		first++
	}
	epochs := slices.Clone(s.Epochs[first:])
	if !slices.Equal(s.Epochs[last].Names, names) {
		epochs = append(epochs, Epoch{From: max(from, s.Epochs[last].From+1), Names: names})
	}
	return Schedule{Epochs: epochs, Until: s.Until}
}

// Plan returns the next revision of the schedule for a conditional write to the platform. It covers ids created until
// lead after now. Changed names take effect only after the end of earlier revisions. A node with an earlier revision,
// however old, therefore agrees with every later revision on all ids that its own revision covers. This requires only
// that the write is conditional on the revision that s was read from; it does not depend on clocks or pauses.
func (s Schedule) Plan(now, lead, keep timekeeper.Millis, names []string) Schedule {
	next := s.Extend(s.Until+1, keep, names)
	next.Until = max(s.Until+1, now+lead)
	return next
}
