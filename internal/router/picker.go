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
	// warmUpTime is the time after the start of an upstream in which its weight grows from warmUpFloor to 1. Until
	// the start, the weight is warmUpFloor.
	warmUpTime  = 2 * timekeeper.Second
	warmUpFloor = 0.2
	// roomShare is the share of the slots in use below which a member has room; reports of its load are not up to date.
	roomShare = 0.7
	// subsetSize is the number of members of a service in a data centre to which a node usually sends its requests. With
	// more of them, the last report of each is too old to tell which has room.
	subsetSize = 8
)

// Directory lists the members of a service as an immutable snapshot; tracker.Directory satisfies it.
type Directory interface {
	Service(name string) []tracker.Member
}

// Options configure a Picker. A Picker with Random set must be used by one goroutine only.
type Options struct {
	Directory Directory
	Clock     timekeeper.Clock
	Name      string                       // of this node
	Zone      string                       // data centre of this node
	Delay     timekeeper.Millis            // one-way delay to other data centres
	Delays    map[string]timekeeper.Millis // exceptions from Delay by data centre
	Random    *rand.Rand
}

// Request describes a request that needs an upstream.
type Request struct {
	Service       string
	Account       string
	Client        string // client account that the caller stated by a key, or ""
	Call          string
	Rank          int      // order of the rank
	PreferredZone string   // data centre to prefer instead of this node's, or ""
	Tried         []string // members that were tried before; picked only if no other is available
	// MaxLocalWait is the wait in ms up to which a request stays in the local data centre. Traffic between data
	// centres costs money even where it saves time.
	MaxLocalWait timekeeper.Millis
}

// Report is the result of one call as seen by the entry node.
type Report struct {
	Request         Request
	Code            classifier.Code
	Latency         timekeeper.Millis
	RetryAfter      timekeeper.Millis // retry hint of a refusal
	HasLoad         bool              // the response carried Running and Queued
	Running         int
	Queued          int
	Capacity        int               // requests that run at once at the upstream's limit, in thousandths; 0 without one
	ServiceTime     timekeeper.Millis // average service time of the call at the member; 0 if unknown
	FailurePermille int               // failed runs of the upstream per thousand, over all runs that its host node saw
	Failed          bool              // the upstream or its node is at fault
}

// Picker chooses upstreams by power of two random choices. It is safe for concurrent use.
type Picker struct {
	directory    Directory
	clock        timekeeper.Clock
	name         string // of this node
	zone         string
	remoteDelay  timekeeper.Millis // one-way delay to other data centres
	delays       map[string]timekeeper.Millis
	random       *rand.Rand
	endpoints    sync.Map // member name to *endpoint
	groups       sync.Map // service name to *group
	serviceTimes serviceTimes
	subset       int // members of a service in a data centre that are preferred

	// Set only by tests, to turn mechanisms off.
	includeUnusable, singleChoice, noWarmUp, noZones, noServiceTimes bool
}

// NewPicker returns a picker without statistics.
func NewPicker(options Options) *Picker {
	return &Picker{
		directory:   options.Directory,
		clock:       options.Clock,
		name:        options.Name,
		zone:        options.Zone,
		subset:      subsetSize,
		remoteDelay: options.Delay,
		delays:      options.Delays,
		random:      options.Random,
	}
}

// Pick chooses the member to run a request. It fails with code 223 if the service has no usable member, and with code
// 220 if all of them recently refused requests of the same account, call and rank.
func (p *Picker) Pick(request Request) (tracker.Member, error) {
	now := p.clock.Now()
	s := search{picker: p, request: &request, now: now, class: classKey(&request)}
	members := p.group(request.Service)
	local := p.zone
	if request.PreferredZone != "" {
		local = request.PreferredZone
	}
	best := s.pickNearest(members, local)
	if best.member == nil && len(request.Tried) > 0 {
		request.Tried = nil
		best = s.pickNearest(members, local)
	}
	if best.member != nil {
		return *best.member, nil
	}
	if s.earliestRetry > 0 {
		return tracker.Member{}, &classifier.Error{
			Code: classifier.CodeOverload, Outcome: classifier.OutcomeNotRun, Subject: request.Service,
			Reason: "all upstreams recently refused requests of this call", Cause: &BusyError{Until: s.earliestRetry},
		}
	}
	return tracker.Member{}, classifier.Refuse(classifier.CodeNoUpstream, request.Service, "no upstream is available")
}

// BusyError is the cause of a refusal by Pick. Until is the time in ms at which the first upstream accepts such
// requests again.
type BusyError struct {
	Until timekeeper.Millis
}

// Error implements error.
func (b *BusyError) Error() string {
	return "upstreams are busy"
}

// HasRoom reports whether a member with a number of slots probably starts another request at once.
func (p *Picker) HasRoom(name string, slots int) bool {
	return p.endpoint(name).load(p.clock.Now()) < roomShare*float64(slots)
}

// RecordStart records that a call was sent to a member.
func (p *Picker) RecordStart(name string) {
	p.endpoint(name).outstanding.Add(1)
}

// RecordEnd records the end of a call that was recorded with RecordStart.
func (p *Picker) RecordEnd(name string, report Report) {
	e := p.endpoint(name)
	e.outstanding.Add(-1)
	now := p.clock.Now()
	if report.HasLoad {
		// The report includes this node's own calls, which outstanding counts already, and the call that just
		// ended.
		others := max(int64(report.Running+report.Queued)-e.outstanding.Load()-1, 0)
		e.reported.Store(others)
		e.capacity.Store(int64(report.Capacity))
		e.reportedAt.Store(int64(now))
		e.reportedErrorRate.Store(math.Float64bits(float64(report.FailurePermille) / 1000))
	}
	if report.ServiceTime > 0 {
		e.serviceTimeRatio.Store(math.Float64bits(p.serviceTimes.updateRatio(&report.Request, report.ServiceTime)))
	}
	switch report.Code {
	case classifier.CodeOverload:
		e.recordRefusal(classKey(&report.Request), now+min(max(report.RetryAfter, 1), maxRefusalTime))
		return
	case classifier.CodeDraining, classifier.CodeNotReady, classifier.CodeUpstreamUnreached:
		e.unavailableUntil.Store(int64(now + unavailableTime))
	case classifier.CodeOK:
		e.addLatency(float64(max(report.Latency, 1)))
	}
	if report.Failed {
		e.addFailure(now)
	} else {
		e.addSuccess()
	}
}

func (p *Picker) group(service string) *group {
	members := p.directory.Service(service)
	if found, ok := p.groups.Load(service); ok {
		if g, _ := found.(*group); g != nil && g.builtFrom(members) {
			return g
		}
	}
	built := p.newGroup(members)
	p.groups.Store(service, built)
	p.prune()
	return built
}

// prune deletes the statistics of members that no group lists any more. It runs once per membership change.
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
		if e, ok := value.(*endpoint); ok && !listed[name] && e.outstanding.Load() == 0 {
			p.endpoints.Delete(key)
		}
		return true
	})
}

func (p *Picker) endpoint(name string) *endpoint {
	if found, ok := p.endpoints.Load(name); ok {
		if e, ok := found.(*endpoint); ok {
			return e
		}
	}
	found, _ := p.endpoints.LoadOrStore(name, &endpoint{})
	e, _ := found.(*endpoint)
	return e
}

func (p *Picker) delay(name string) timekeeper.Millis {
	if name == p.zone {
		return 0
	}
	if delay, ok := p.delays[name]; ok {
		return delay
	}
	return p.remoteDelay
}

func (p *Picker) intN(n int) int {
	if p.random != nil {
		return p.random.IntN(n)
	}
	return rand.IntN(n)
}

// classKey hashes account, call and rank. Refusals are recorded under this key, so that a flood of one call does not
// exclude upstreams for other calls of the same rank.
func classKey(request *Request) uint64 {
	key := callKeyOf(request)
	if request.Client != "" {
		key ^= xxhash.Sum64String(request.Client) * 17
	}
	return (key + uint64(request.Rank)) * 0x9e3779b97f4a7c15
}

// callKeyOf hashes account and call.
func callKeyOf(request *Request) uint64 {
	return xxhash.Sum64String(request.Account) ^ xxhash.Sum64String(request.Call)*31
}

func isAvoided(request *Request, name string) bool {
	return len(request.Tried) > 0 && slices.Contains(request.Tried, name)
}
