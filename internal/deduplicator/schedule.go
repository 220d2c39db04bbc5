package deduplicator

import (
	"math"
	"slices"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Epoch lists the names in force for ids born at From or later, until the next epoch.
type Epoch struct {
	From  timekeeper.Millis `json:"from"  msgpack:"f"`
	Names []string          `json:"names" msgpack:"n"`
}

// Schedule is a history of names by the birth of ids, oldest first. It says nothing of ids born after Until, because
// an epoch that this node has not seen may apply to them.
type Schedule struct {
	Epochs []Epoch           `json:"epochs" msgpack:"e"`
	Until  timekeeper.Millis `json:"until"  msgpack:"u"`
}

// Forever is the Until of a schedule whose changes this node itself records.
const Forever = timekeeper.Millis(math.MaxInt64)

// At returns the names in force for ids born at birth, or nil if the schedule does not cover it.
func (s Schedule) At(birth timekeeper.Millis) []string {
	if birth > s.Until {
		return nil
	}
	for i := len(s.Epochs) - 1; i >= 0; i-- {
		if s.Epochs[i].From <= birth {
			return s.Epochs[i].Names
		}
	}
	return nil
}

// Extend returns the schedule with an epoch of the sorted names, in force for ids born at from or later, if they
// differ from the last epoch's. Epochs that ended before keep are dropped. The receiver is not changed.
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

// Plan returns what a member writes to the platform as the next revision of an agreed schedule. It covers ids born
// until lead after now. Changed names take effect after everything that earlier revisions cover. So whoever holds an
// earlier revision, for however long, agrees with every later one on all ids that it covers. This needs only that the
// write is conditional on the revision that s was read from; it does not depend on clocks or pauses.
func (s Schedule) Plan(now, lead, keep timekeeper.Millis, names []string) Schedule {
	next := s.Extend(s.Until+1, keep, names)
	next.Until = max(s.Until+1, now+lead)
	return next
}
