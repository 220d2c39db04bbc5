package rollouter

import (
	"maps"
	"slices"
	"sync"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Upstream is the state of the upstream beside a node.
type Upstream struct {
	Version string
	Healthy bool
	WarmAt  timekeeper.Millis // end of its slow start; earlier runs are not tallied
	Working int               // requests that run or wait
}

// maxNested bounds the failed calls of runs that a gate remembers.
const maxNested = 256

// GateOptions are the settings and dependencies of a Gate.
type GateOptions struct {
	Service     string
	Incarnation uint64
	Clock       timekeeper.Clock
	Logger      *zap.Logger
	Upstream    func() Upstream
	// Alone reports whether no member of the service has another version than the upstream. A roll-out then has nothing
	// to move the requests from.
	Alone func(version string) bool
	// OnChange is called when a grant or an order may have changed the state; it must not block.
	OnChange func()
}

// Gate decides at a host node whether its upstream may take requests during a roll-out of its service, and tallies how
// its runs end. It is safe for concurrent use.
type Gate struct {
	options GateOptions
	mutex   sync.Mutex
	order   *Order // nil without a roll-out
	grant   Grant
	until   timekeeper.Millis // end of the grant
	stopped string            // version that was stopped
	runs    uint64
	version string            // of the upstream that the counts are about
	since   timekeeper.Millis // when version was first seen; earlier runs were those of another one
	calls   map[string]Tally
	nested  []timekeeper.Millis // when calls of runs failed that no ended run is explained by yet; oldest first
}

// NewGate returns a gate without an order, which admits all requests.
func NewGate(options GateOptions) *Gate {
	return &Gate{options: options, calls: make(map[string]Tally)}
}

// SetOrder sets the order of the gate's service; nil if there is none.
func (g *Gate) SetOrder(order *Order) {
	g.mutex.Lock()
	g.order = order
	g.mutex.Unlock()
	g.options.OnChange()
}

// Admission is what the upstream beside a node may take.
type Admission struct {
	Open   bool
	Weight int // in thousandths of the requests of another upstream; 0 for as many
}

// Admission returns whether the upstream may take new requests.
func (g *Gate) Admission() Admission {
	upstream := g.options.Upstream()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.admission(upstream.Version)
}

// Open reports whether the upstream may take new requests.
func (g *Gate) Open() bool {
	return g.Admission().Open
}

// admission is Admission for a caller that holds the lock.
func (g *Gate) admission(version string) Admission {
	if g.order == nil {
		return Admission{Open: true}
	}
	kind := g.kind()
	switch g.order.RoleOf(version) {
	case RoleServing:
		// A grant that still holds when the roll-out completes keeps requests from an upstream that ends at once.
		yields := kind == KindYield || g.restartedDuringSwitch(version)
		return Admission{Open: !yields || g.order.Current().Phase == PhaseRolledBack || g.order.Removed}
	case RoleCandidate:
		switch {
		case version == g.stopped:
			return Admission{}
		case kind == KindServe || kind == KindTrial && g.grant.Runs > 0:
			return Admission{Open: true, Weight: g.grant.Weight}
		case kind == KindNone && g.options.Alone(version):
			return Admission{Open: true}
		}
	}
	return Admission{}
}

// restartedDuringSwitch reports whether a node that has no grant yet started while the other version took over: the
// upstream may end at any moment.
func (g *Gate) restartedDuringSwitch(version string) bool {
	return g.order.Current().Switching && version != g.order.Target && g.grant.Format == 0
}

// kind returns the kind of the grant in force.
func (g *Gate) kind() Kind {
	if g.order == nil || g.grant.Target != g.order.Target || g.options.Clock.Now() >= g.until {
		return KindNone
	}
	return g.grant.Kind
}

// Begin reports whether the upstream may start a request, and counts it against the grant.
func (g *Gate) Begin() bool {
	upstream := g.options.Upstream()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.order != nil && g.order.RoleOf(upstream.Version) != RoleServing {
		if !g.admission(upstream.Version).Open {
			return false
		}
		if g.kind() == KindTrial {
			g.grant.Runs--
		}
	}
	g.countFor(upstream.Version)
	g.runs++
	return true
}

// countFor drops the counts of an upstream of another version that was beside the node before. While no upstream is
// known, they are kept.
func (g *Gate) countFor(version string) {
	if version == "" || version == g.version {
		return
	}
	g.version, g.since, g.runs = version, g.options.Clock.Now(), 0
	clear(g.calls)
}

// Record tallies the end of a run that Begin admitted.
func (g *Gate) Record(call string, failed bool, duration timekeeper.Millis) {
	upstream := g.options.Upstream()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.countFor(upstream.Version)
	if g.order == nil || g.options.Clock.Now()-duration < max(upstream.WarmAt, g.since) {
		return
	}
	if failed && g.explained(duration) {
		return
	}
	tally, known := g.calls[call]
	if !known && len(g.calls) >= maxCalls {
		return
	}
	tally.Add(failed, duration)
	g.calls[call] = tally
}

// NestedFailed notes that a call that the upstream made within a run found no upstream that took it. One run that fails
// because of it is not tallied: it says nothing about the version.
func (g *Gate) NestedFailed() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.order == nil {
		return
	}
	g.nested = append(g.nested[max(len(g.nested)-maxNested+1, 0):], g.options.Clock.Now())
}

// explained reports whether a call failed during a run that ends now, and takes that call.
func (g *Gate) explained(duration timekeeper.Millis) bool {
	started := g.options.Clock.Now() - duration
	i := slices.IndexFunc(g.nested, func(at timekeeper.Millis) bool { return at >= started })
	if i < 0 {
		return false
	}
	g.nested = slices.Delete(g.nested, i, i+1)
	return true
}

// Apply puts a grant into force and returns a report.
func (g *Gate) Apply(grant *Grant) Report {
	upstream := g.options.Upstream()
	now := g.options.Clock.Now()
	g.mutex.Lock()
	before := g.admission(upstream.Version)
	if grant.Service == g.options.Service {
		g.grant, g.until = *grant, now+grant.Duration
		if grant.Kind == KindStop && g.stopped != grant.Target {
			g.stopped = grant.Target
			g.options.Logger.Warn("version stopped by a roll-out", zap.String("version", grant.Target))
		}
	}
	after := g.admission(upstream.Version)
	g.countFor(upstream.Version)
	report := Report{
		Format: Format, Incarnation: g.options.Incarnation, Version: upstream.Version, Healthy: upstream.Healthy,
		Stopped: g.stopped != "" && g.stopped == upstream.Version, Yields: !after.Open, Working: upstream.Working,
		Runs: g.runs, Calls: maps.Clone(g.calls),
	}
	g.mutex.Unlock()
	if before != after {
		g.options.OnChange()
	}
	return report
}
