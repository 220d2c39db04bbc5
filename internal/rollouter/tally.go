package rollouter

import (
	"math"

	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// durationBuckets is the number of buckets of a Tally. Each covers half an octave, the first one up to 1 ms.
const durationBuckets = 32

// maxCalls bounds the calls that a node keeps tallies of.
const maxCalls = 64

// Tally counts the runs of one call on one upstream.
type Tally struct {
	Failed    uint64                  `msgpack:"f"` // runs without a valid response, or with a server error
	Durations [durationBuckets]uint32 `msgpack:"d"` // other runs, by duration
}

// Add counts one run.
func (t *Tally) Add(failed bool, duration timekeeper.Millis) {
	if failed {
		t.Failed++
		return
	}
	t.Durations[bucketOf(duration)]++
}

// runs returns the number of runs.
func (t *Tally) runs() uint64 {
	sum := t.Failed
	for _, count := range t.Durations {
		sum += uint64(count)
	}
	return sum
}

func bucketOf(duration timekeeper.Millis) int {
	if duration <= 1 {
		return 0
	}
	return min(int(math.Ceil(2*math.Log2(float64(duration)))), durationBuckets-1)
}

// since returns the difference to an earlier state of the tally; the tally itself if it was reset in between.
func (t *Tally) since(earlier *Tally) Tally {
	difference := Tally{Failed: t.Failed - earlier.Failed}
	if t.Failed < earlier.Failed {
		return *t
	}
	for i := range t.Durations {
		if t.Durations[i] < earlier.Durations[i] {
			return *t
		}
		difference.Durations[i] = t.Durations[i] - earlier.Durations[i]
	}
	return difference
}

// Grant states what the upstream beside a node may do in a roll-out. It holds until its end or the next grant.
type Grant struct {
	Format   int               `msgpack:"f"`
	Service  string            `msgpack:"s"`
	Target   string            `msgpack:"t"` // version of the order
	Kind     Kind              `msgpack:"k"`
	Runs     int               `msgpack:"r"` // requests that a trial may still start
	Weight   int               `msgpack:"w"` // share of the requests of a trial, in thousandths of that of other upstreams
	Duration timekeeper.Millis `msgpack:"d"`
}

// Kind is the kind of a Grant.
type Kind uint8

// Kinds of grants. A version that is on trial has KindNone, KindTrial, KindServe or KindStop; another one KindNone or
// KindYield.
const (
	KindNone  Kind = iota // only reports
	KindTrial             // serves a few requests
	KindServe             // serves all requests that come
	KindYield             // takes no new requests while the other version serves them
	KindStop              // takes no requests any more: the version was found to be bad
)

// Bounds of the fields of a grant.
const (
	fullWeight  = 1000
	maxRuns     = 1 << 20
	maxDuration = timekeeper.Minute
	maxName     = 128
)

func (g *Grant) check() error {
	if err := messenger.CheckFormat("grant", g.Format, Format); err != nil {
		return err
	}
	switch {
	case len(g.Service) > maxName || len(g.Target) > maxName:
		return messenger.InvalidField("grant", "service", len(g.Service))
	case g.Kind > KindStop:
		return messenger.InvalidField("grant", "kind", g.Kind)
	case g.Runs < 0 || g.Runs > maxRuns:
		return messenger.InvalidField("grant", "runs", g.Runs)
	case g.Weight < 0 || g.Weight > fullWeight:
		return messenger.InvalidField("grant", "weight", g.Weight)
	case g.Duration < 0 || g.Duration > maxDuration:
		return messenger.InvalidField("grant", "duration", g.Duration)
	}
	return nil
}

// Report is the reply to a grant.
type Report struct {
	Format      int              `msgpack:"f"`
	Incarnation uint64           `msgpack:"i"` // of the process of the node; its counts start at 0
	Version     string           `msgpack:"v"` // of the upstream
	Healthy     bool             `msgpack:"h"` // the upstream accepts requests
	Stopped     bool             `msgpack:"x"` // a KindStop grant came before
	Yields      bool             `msgpack:"y"` // the upstream takes no new requests
	Working     int              `msgpack:"w"` // requests that run or wait
	Runs        uint64           `msgpack:"r"` // requests that the upstream started
	Calls       map[string]Tally `msgpack:"c"`
}

func (r *Report) check() error {
	if err := messenger.CheckFormat("report", r.Format, Format); err != nil {
		return err
	}
	if len(r.Calls) > maxCalls {
		return messenger.InvalidField("report", "calls", len(r.Calls))
	}
	return nil
}

// Format is the number of the message format.
const Format = 1
