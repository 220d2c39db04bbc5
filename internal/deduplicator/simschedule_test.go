package deduplicator

import (
	"pgregory.net/rapid"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// fault kills, restarts, replaces, pauses or partitions a node. Length is the duration of a pause or a partition, or
// the time until the restart.
type fault struct {
	Kind       string
	Node       int
	At, Length timekeeper.Millis
}

// presentation sends an id to a host. A caller whose clock is off by ClockError creates the id, or the entry node if
// Fresh. The message arrives after Delay. After a second the entry node gives up on it, settles the attempt with the
// host and sends another attempt if the first did not run.
type presentation struct {
	ID, Host              int
	At, ClockError, Delay timekeeper.Millis
	Abandon, Fresh        bool
	QueueTime             timekeeper.Millis
}

// simSchedule lists the events of a simulation. Which messages are lost or delayed follows from Seed.
type simSchedule struct {
	Seed          uint64
	LossPercent   uint64 // percentage of messages lost, and the same of messages delayed and of messages duplicated
	Faults        []fault
	Presentations []presentation
}

// drawSchedule draws a schedule.
func drawSchedule(t *rapid.T) simSchedule {
	millis := func(limit int) *rapid.Generator[timekeeper.Millis] {
		return rapid.Map(rapid.IntRange(0, limit), func(i int) timekeeper.Millis { return timekeeper.Millis(i) })
	}
	faults := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			Kind: rapid.SampledFrom([]string{"restart", "replace", "pause", "partition", "kill"}).Draw(t, "kind"),
			Node: rapid.IntRange(0, 4).Draw(t, "node"), At: millis(30000).Draw(t, "at"), Length: millis(9000).Draw(t, "length"),
		}
	})
	presentations := rapid.Custom(func(t *rapid.T) presentation {
		return presentation{
			ID: rapid.IntRange(0, 9).Draw(t, "id"), Host: rapid.IntRange(0, 4).Draw(t, "host"),
			At: millis(35000).Draw(t, "at"), ClockError: millis(6000).Draw(t, "clockError") - 3000,
			Delay: max(0, millis(3000).Draw(t, "delay")-1000), Fresh: rapid.IntRange(0, 3).Draw(t, "fresh") == 0,
			Abandon: rapid.IntRange(0, 4).Draw(t, "abandon") == 0, QueueTime: millis(3000).Draw(t, "queueTime"),
		}
	})
	return simSchedule{
		Seed: rapid.Uint64().Draw(t, "seed"), LossPercent: rapid.Uint64Range(0, 20).Draw(t, "lossPercent"),
		Faults:        rapid.SliceOfN(faults, 0, 8).Draw(t, "faults"),
		Presentations: rapid.SliceOfN(presentations, 1, 60).Draw(t, "presentations"),
	}
}
