package deduplicator

import (
	"pgregory.net/rapid"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// fault is one step of a schedule: kill, restart, replace, pause or cut a node.
type fault struct {
	Kind     string
	Node     int
	At, Span timekeeper.Millis
}

// present sends an id to a host. The id is born by a clock that is Drift off, or created by the entry node if Fresh.
// The message takes Late; after a second the entry node gives up on it, asks the host and perhaps sends it again.
type present struct {
	ID, Host        int
	At, Drift, Late timekeeper.Millis
	Abandon, Fresh  bool
	Queued          timekeeper.Millis
}

// schedule is everything that happens in one simulation besides the fates of messages, which follow from Seed.
type schedule struct {
	Seed     uint64
	Lossy    uint64 // percentage of messages lost, and again of messages delayed or duplicated
	Faults   []fault
	Presents []present
}

// schedules draws a schedule.
func schedules(t *rapid.T) schedule {
	millis := func(limit int) *rapid.Generator[timekeeper.Millis] {
		return rapid.Map(rapid.IntRange(0, limit), func(i int) timekeeper.Millis { return timekeeper.Millis(i) })
	}
	faults := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind: rapid.SampledFrom([]string{"restart", "replace", "pause", "cut", "kill"}).Draw(t, "kind"),
			Node: rapid.IntRange(0, 4).Draw(t, "node"), At: millis(30000).Draw(t, "at"), Span: millis(9000).Draw(t, "span"),
		}
	})
	presents := rapid.Custom(func(t *rapid.T) present {
		return present{
			ID: rapid.IntRange(0, 9).Draw(t, "id"), Host: rapid.IntRange(0, 4).Draw(t, "host"),
			At: millis(35000).Draw(t, "at"), Drift: millis(6000).Draw(t, "drift") - 3000,
			Late: max(0, millis(3000).Draw(t, "late")-1000), Fresh: rapid.IntRange(0, 3).Draw(t, "fresh") == 0,
			Abandon: rapid.IntRange(0, 4).Draw(t, "abandon") == 0, Queued: millis(3000).Draw(t, "queued"),
		}
	})
	return schedule{
		Seed: rapid.Uint64().Draw(t, "seed"), Lossy: rapid.Uint64Range(0, 20).Draw(t, "lossy"),
		Faults:   rapid.SliceOfN(faults, 0, 8).Draw(t, "faults"),
		Presents: rapid.SliceOfN(presents, 1, 60).Draw(t, "presents"),
	}
}
