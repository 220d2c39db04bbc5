package router

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

const (
	// warmUp is the span after the slow start of an upstream in which its weight grows from warmUpFloor to 1. Before,
	// it has the floor.
	warmUp      = 2 * timekeeper.Second
	warmUpFloor = 0.2
)

// Directory lists the members of a service as an immutable snapshot; tracker.Directory satisfies it.
type Directory interface {
	Service(name string) []tracker.Member
}

// Options are what a Picker needs. Random is used when set, and then the Picker serves one goroutine only.
type Options struct {
	Directory Directory
	Clock     timekeeper.Clock
	Zone      string                       // data centre of this node
	Delay     timekeeper.Millis            // one-way delay to other data centres
	Delays    map[string]timekeeper.Millis // those that differ
	Random    *rand.Rand
}

// Request is what decides the choice of an upstream.
type Request struct {
	Service string
	Account string
	Call    string
	Rank    int      // order of the rank
	Home    string   // data centre to prefer instead of this node's, or ""
	Avoid   []string // members that were tried before; used only where there is no other
	// MaxLocalWait is the wait in ms that the request can bear in the local data centre: the way to another one costs
	// money also where it saves time.
	MaxLocalWait timekeeper.Millis
}

// Report is the end of one call as seen by the entry node.
type Report struct {
	Request         Request
	Code            classifier.Code
	Latency         timekeeper.Millis
	Retry           timekeeper.Millis // hint of a refusal
	Reported        bool              // Running and Queued came with the response
	Running         int
	Queued          int
	ServiceTime     timekeeper.Millis // average service time of the call at the member; 0 if it is not known
	FailurePermille int               // runs that the upstream fails, in thousandths, as its host node saw all of them
	Failed          bool              // the upstream or its node is at fault
}

// Picker chooses upstreams by power of two random choices. It is safe for concurrent use.
type Picker struct {
	directory Directory
	clock     timekeeper.Clock
	zone      string
	apart     timekeeper.Millis // one-way delay to other data centres
	delays    map[string]timekeeper.Millis
	random    *rand.Rand
	endpoints sync.Map // member name to *endpoint
	groups    sync.Map // service name to *group
	paces     paces

	// Switches of mechanisms, set by tests only.
	useAll, oneChoice, noWarmUp, noZones, noPace bool
}

// NewPicker returns a picker without any figures.
func NewPicker(options Options) *Picker {
	return &Picker{
		directory: options.Directory,
		clock:     options.Clock,
		zone:      options.Zone,
		apart:     options.Delay,
		delays:    options.Delays,
		random:    options.Random,
	}
}

// Pick chooses the member to run a request. It fails with code 223 when the service has no usable member and with
// code 220 when all of them refused this kind of work a moment ago.
func (p *Picker) Pick(request Request) (tracker.Member, error) {
	now := p.clock.Now()
	search := search{picker: p, request: &request, now: now, key: busyKey(&request)}
	usable := p.group(request.Service)
	local := p.zone
	if request.Home != "" {
		local = request.Home
	}
	best := search.near(usable, local)
	if best.member == nil && len(request.Avoid) > 0 {
		request.Avoid = nil
		best = search.near(usable, local)
	}
	if best.member != nil {
		return *best.member, nil
	}
	if search.retry > 0 {
		return tracker.Member{}, &classifier.Error{
			Code: classifier.CodeOverload, Outcome: classifier.OutcomeNotRun, Subject: request.Service,
			Reason: "all upstreams refused this kind of work a moment ago", Cause: &BusyError{Until: search.retry},
		}
	}
	return tracker.Member{}, classifier.Refuse(classifier.CodeNoUpstream, request.Service, "no upstream is available")
}

// BusyError is the cause of a refusal by Pick: the time at which the first upstream takes such work again.
type BusyError struct {
	Until timekeeper.Millis
}

// Error implements error.
func (b *BusyError) Error() string {
	return "upstreams are busy"
}

// Started records that a call was sent to a member.
func (p *Picker) Started(name string) {
	p.endpoint(name).outstanding.Add(1)
}

// Finished records the end of a call that Started recorded.
func (p *Picker) Finished(name string, report Report) {
	one := p.endpoint(name)
	one.outstanding.Add(-1)
	now := p.clock.Now()
	if report.Reported {
		// The report counts this node's own calls too; they are taken out, since they are counted as outstanding.
		others := max(int64(report.Running+report.Queued)-one.outstanding.Load()-1, 0)
		one.reported.Store(others)
		one.reportedAt.Store(int64(now))
		one.faults.Store(math.Float64bits(float64(report.FailurePermille) / 1000))
	}
	if report.ServiceTime > 0 {
		one.pace.Store(math.Float64bits(p.paces.compare(&report.Request, report.ServiceTime)))
	}
	switch report.Code {
	case classifier.CodeOverload:
		one.setBusy(busyKey(&report.Request), now+min(max(report.Retry, 1), maxBusy))
		return
	case classifier.CodeDraining, classifier.CodeNotReady, classifier.CodeUpstreamUnreached:
		one.leaving.Store(int64(now + leavingSpan))
	case classifier.CodeOK:
		one.addLatency(float64(max(report.Latency, 1)))
	}
	if report.Failed {
		one.addFailure(now)
	} else {
		one.addSuccess()
	}
}

func (p *Picker) group(service string) *group {
	members := p.directory.Service(service)
	if found, ok := p.groups.Load(service); ok {
		if g, _ := found.(*group); g != nil && g.describes(members) {
			return g
		}
	}
	built := p.newGroup(members)
	p.groups.Store(service, built)
	p.prune()
	return built
}

// prune forgets the figures of members that no group lists any more. It runs once per membership change.
func (p *Picker) prune() {
	listed := make(map[string]bool)
	p.groups.Range(func(_, value any) bool {
		if g, ok := value.(*group); ok {
			for i := range g.members {
				listed[g.members[i].Name] = true
			}
		}
		return true
	})
	p.endpoints.Range(func(key, value any) bool {
		name, _ := key.(string)
		if one, ok := value.(*endpoint); ok && !listed[name] && one.outstanding.Load() == 0 {
			p.endpoints.Delete(key)
		}
		return true
	})
}

func (p *Picker) endpoint(name string) *endpoint {
	if found, ok := p.endpoints.Load(name); ok {
		if one, ok := found.(*endpoint); ok {
			return one
		}
	}
	found, _ := p.endpoints.LoadOrStore(name, &endpoint{})
	one, _ := found.(*endpoint)
	return one
}

func (p *Picker) delay(name string) timekeeper.Millis {
	if name == p.zone {
		return 0
	}
	if delay, ok := p.delays[name]; ok {
		return delay
	}
	return p.apart
}

func (p *Picker) intN(n int) int {
	if p.random != nil {
		return p.random.IntN(n)
	}
	return rand.IntN(n)
}

// busyKey hashes the kind of work that a refusal is about: one flooding call must not close a rank for other calls.
func busyKey(request *Request) uint64 {
	key := xxhash.Sum64String(request.Account) ^ xxhash.Sum64String(request.Call)*31
	return (key + uint64(request.Rank)) * 0x9e3779b97f4a7c15
}

func avoided(request *Request, name string) bool {
	return len(request.Avoid) > 0 && slices.Contains(request.Avoid, name)
}
