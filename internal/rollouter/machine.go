package rollouter

import (
	"cmp"
	"math"
	"slices"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

const (
	// trialPart is the part of the share that the new version gets while it is on trial. grantPart is the part that grants
	// allow when estimates are off, and firstRuns the requests that they allow before an estimate exists. The rest is left
	// for requests that are on their way when the version is found bad.
	trialPart = 0.55
	grantPart = 0.7
	firstRuns = 20
	// observedShare is the part of the period after which a version with enough evidence is brought into force, and
	// latestShare the part after which any version without evidence against it is. The rest is left for the switch and
	// for an unavailable platform.
	observedShare = 0.5
	latestShare   = 0.65
	enoughRuns    = 60
	// leastRuns is the number of judged runs after which a version may be completed. A service with few requests waits
	// for takeoverRounds instead, in which the others take nothing.
	leastRuns      = 20
	takeoverRounds = 6
	// rotationRounds is the number of rounds after which other upstreams are on trial: one alone may be slow or fail.
	rotationRounds = 3
	// afterRounds is the number of rounds for which an upstream reports after its trial: runs that are slow end later.
	afterRounds = 10
	// referenceHosts is the number of upstreams of other versions that report in a round, and referenceRounds the number
	// of rounds after which others do.
	referenceHosts  = 6
	referenceRounds = 10
	// trialTime is how long a grant of a trial or a switch holds without the next one; three rounds.
	trialTime = 1300 * timekeeper.Millis(1)
	// finalTime is how long the other versions take no requests around the write of the completed status. The write may
	// take effect seconds after it was sent.
	finalTime = 10 * timekeeper.Second
	// stopTime is how long a KindStop grant holds. The version is not granted anything afterwards either.
	stopTime = 30 * timekeeper.Second
	// lostRounds is the number of rounds without a report after which a member counts as gone.
	lostRounds = 5
	// minOthers is the least share of the other versions that the number of upstreams on trial is worked out with.
	minOthers = 0.1
	// aloneRounds is the number of rounds in a row without a member of another version after which a version that is the
	// only one is in force. A node may learn late of members that its mesh has had all along.
	aloneRounds = 15
	// soleShare is the share of the recent runs of the version from which on an upstream counts as the only one: others
	// may be limited or cut off. recentDecay is the factor by which runs lose weight with each round.
	soleShare   = 0.8
	recentDecay = 0.9
	// minSlotsDivisor divides the slots of the other versions into those that the new one must have.
	minSlotsDivisor = 2
)

// stage is the progress of a roll-out at the node that conducts it.
type stage uint8

const (
	stageTrial  stage = iota
	stageSwitch       // the new version serves all requests, the others end theirs
	stageFinal        // the others have ended theirs and are held until the status is written
	stageStop         // the version is bad
)

// Machine conducts the roll-out of one service. It does no I/O. Each round it plans grants, and evaluates the reports
// that they brought.
type Machine struct {
	offset   int     // of the first members that report
	share    float64 // of the requests that the new version may get while it is not known to be good
	started  timekeeper.Millis
	stage    stage
	judge    *Judge
	hosts    map[string]*hostRecord
	round    int
	exposed  float64 // requests that the new version started
	served   float64 // requests that the others started, as estimated
	tallied  float64 // runs of the new version that the judge has seen
	reason   string
	planned  map[string]Kind    // kinds of the grants of this round, by member
	tried    map[string]int     // last round of the trial of each member
	held     bool               // the grants of this round hold the other versions beyond the write of the status
	halted   bool               // the grants of this round stop the version
	recent   map[string]float64 // recent runs of each member of the new version
	alone    int                // rounds in a row in which no other version was known
	takeover int                // of the switch: 0 until the new version serves, 1 while the others end their requests
}

// hostRecord is what the machine knows of a member.
type hostRecord struct {
	last   Report
	known  bool // last is a report
	rounds int  // since the last report
	lost   int  // grants without a report since the last report
}

// Sending is a grant for a member.
type Sending struct {
	Member tracker.Member
	Grant  Grant
}

// NewMachine returns a machine for a roll-out that began at a time, in which a version that is not known to be good may
// get a share of the requests. The offset selects the first members that report.
func NewMachine(started timekeeper.Millis, share float64, offset int) *Machine {
	return &Machine{
		offset: offset, share: share, started: started, judge: NewJudge(), hosts: make(map[string]*hostRecord),
		tried: make(map[string]int), recent: make(map[string]float64),
	}
}

// Plan returns the grants of a round for the members of the service.
func (m *Machine) Plan(order *Order, members []tracker.Member) []Sending {
	m.round++
	m.planned = make(map[string]Kind)
	m.held, m.halted = m.stage == stageFinal, m.stage == stageStop
	candidates, others := m.split(order, members)
	switch m.stage {
	case stageStop:
		return m.grantAll(order, candidates, Grant{Kind: KindStop, Duration: stopTime})
	case stageTrial:
		return m.planTrial(order, candidates, others)
	}
	duration := trialTime
	if m.held {
		duration = finalTime
	}
	sendings := m.grantAll(order, candidates, Grant{Kind: KindServe, Weight: fullWeight, Duration: duration})
	if m.stage == stageSwitch && m.takeover < 1 {
		return append(sendings, m.grantAll(order, others, Grant{Kind: KindNone})...)
	}
	return append(sendings, m.grantAll(order, others, Grant{Kind: KindYield, Duration: duration})...)
}

// split returns the members of the new version and of the others, by name. Members that have left or whose upstream is
// leaving are in neither.
func (m *Machine) split(order *Order, members []tracker.Member) (candidates, others []tracker.Member) {
	for _, member := range members {
		if member.Health >= tracker.HealthFailed || member.State == tracker.StateDraining {
			continue
		}
		switch order.RoleOf(member.Version) {
		case RoleCandidate:
			candidates = append(candidates, member)
		case RoleServing:
			others = append(others, member)
		case RoleRejected:
		}
	}
	byName := func(a, b tracker.Member) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(candidates, byName)
	slices.SortFunc(others, byName)
	return candidates, others
}

func (m *Machine) grantAll(order *Order, members []tracker.Member, grant Grant) []Sending {
	grant.Format, grant.Service, grant.Target = Format, order.Service, order.Target
	sendings := make([]Sending, 0, len(members))
	for _, member := range members {
		m.planned[member.Name] = grant.Kind
		sendings = append(sendings, Sending{member, grant})
	}
	return sendings
}

// planTrial grants requests to a few upstreams of the new version, which get as many as each of the others, and asks
// some of the others for a report. Few upstreams with the usual load show more than many with little of it.
func (m *Machine) planTrial(order *Order, candidates, others []tracker.Member) []Sending {
	reference := window(others, m.offset+m.round/referenceRounds*referenceHosts, referenceHosts)
	part := trialPart * m.share
	desired := part / max(1-part, minOthers) * float64(len(others))
	count := min(max(int(desired), 1), len(candidates))
	if count == 0 {
		return m.grantAll(order, reference, Grant{Kind: KindNone})
	}
	first := m.offset + m.round/rotationRounds*count
	runs := int(m.allowance()) / count
	weight := min(int(desired/float64(count)*fullWeight), fullWeight)
	trial := Grant{Kind: KindTrial, Runs: max(runs, 0), Weight: max(weight, 1), Duration: trialTime}
	chosen := window(candidates, first, count)
	sendings := m.grantAll(order, chosen, trial)
	for _, member := range chosen {
		m.tried[member.Name] = m.round
	}
	for _, member := range candidates {
		if last, tried := m.tried[member.Name]; tried && last < m.round && m.round-last <= afterRounds {
			sendings = append(sendings, m.grantAll(order, []tracker.Member{member}, Grant{Kind: KindNone})...)
		}
	}
	return append(sendings, m.grantAll(order, reference, Grant{Kind: KindNone})...)
}

// allowance returns the number of requests that the new version may start now.
func (m *Machine) allowance() float64 {
	return grantPart*m.share*(m.served+m.exposed) + firstRuns - m.exposed
}

// window returns count elements from first on, from the beginning again after the last.
func window(members []tracker.Member, first, count int) []tracker.Member {
	chosen := make([]tracker.Member, 0, count)
	for i := range min(count, len(members)) {
		chosen = append(chosen, members[(first+i)%len(members)])
	}
	return chosen
}

// Evaluate evaluates the reports of a round, by member, and returns the status to write, or nil.
func (m *Machine) Evaluate(
	now timekeeper.Millis, order *Order, members []tracker.Member, reports map[string]Report,
) *Status {
	candidates, others := m.split(order, members)
	if m.stage != stageFinal {
		m.judge.Decay()
	}
	m.recordOthers(others, reports)
	stopped := m.recordCandidates(candidates, reports)
	score, reason := m.judge.Score()
	if m.stage != stageStop && (stopped || score >= verdictScore) {
		m.stage, m.reason = stageStop, reason
		if stopped {
			m.reason = "found bad by the node that conducted the roll-out before"
		}
	}
	if m.alone++; listsOthers(order, members) {
		m.alone = 0
	}
	m.advance(now, order, score, candidates, others, reports)
	return m.status(order, candidates, others, reports)
}

// recordOthers adds the runs of the other versions, extrapolated from those that reported.
func (m *Machine) recordOthers(others []tracker.Member, reports map[string]Report) {
	runs, reporting := 0.0, 0
	for _, member := range others {
		report, ok := reports[member.Name]
		last, rounds := m.record(member.Name, report, ok, func(call string, t *Tally) {
			m.judge.AddReference(call, member.Name, t)
		})
		if ok && last != nil && report.Runs >= last.Runs {
			runs += float64(report.Runs-last.Runs) / float64(rounds)
			reporting++
		}
	}
	if reporting > 0 {
		m.served += runs / float64(reporting) * float64(len(others))
	}
}

// recordCandidates adds the runs of the new version, and reports whether an upstream of it was stopped before.
func (m *Machine) recordCandidates(candidates []tracker.Member, reports map[string]Report) (stopped bool) {
	for name := range m.recent {
		m.recent[name] *= recentDecay
	}
	for _, member := range candidates {
		report, ok := reports[member.Name]
		last, _ := m.record(member.Name, report, ok, func(call string, t *Tally) {
			m.tallied += float64(t.runs())
			m.recent[member.Name] += float64(t.runs())
			m.judge.Add(call, member.Name, len(candidates) > 1 && !m.isSole(member.Name), t)
		})
		if !ok {
			continue
		}
		stopped = stopped || report.Stopped
		m.exposed += float64(report.Runs)
		if last != nil && report.Runs >= last.Runs {
			m.exposed -= float64(last.Runs)
		}
	}
	return stopped
}

// isSole reports whether a member runs nearly all requests of the new version while it serves all. During the trial, a
// few members at a time do so by design.
func (m *Machine) isSole(name string) bool {
	if m.stage != stageSwitch && m.stage != stageFinal {
		return false
	}
	sum := 0.0
	for _, runs := range m.recent {
		sum += runs
	}
	return m.recent[name] >= soleShare*sum
}

// record stores the report of a member, if there is one, and passes what its tallies grew by to add. The tallies of its
// first report may be older than the roll-out or stem from faults that are over: they are where the counts begin. It
// returns the last report before, nil if there is none of the same process and version, and the number of rounds since
// then.
func (m *Machine) record(
	name string, report Report, ok bool, add func(call string, t *Tally),
) (last *Report, rounds int) {
	host := m.hosts[name]
	if host == nil {
		host = &hostRecord{}
		m.hosts[name] = host
	}
	host.rounds++
	if !ok {
		if _, planned := m.planned[name]; planned {
			host.lost++
		}
		return nil, 0
	}
	if before := host.last; host.known && before.Incarnation == report.Incarnation && before.Version == report.Version {
		last = &before
	}
	if host.known {
		for call, tally := range report.Calls {
			var earlier Tally
			if last != nil {
				earlier = last.Calls[call]
			}
			difference := tally.since(&earlier)
			add(call, &difference)
		}
	}
	rounds = host.rounds
	*host = hostRecord{last: report, known: true}
	return last, rounds
}

// advance moves on to the next stage if the reports allow it.
func (m *Machine) advance(
	now timekeeper.Millis, order *Order, score float64, candidates, others []tracker.Member, reports map[string]Report,
) {
	switch m.stage {
	case stageTrial:
		if m.mayTakeOver(now, order, score) && m.enoughSlots(candidates, others) {
			m.stage, m.takeover = stageSwitch, 0
		}
	case stageSwitch:
		if m.judge.Undecided() {
			m.stage = stageTrial // which bounds its requests
			return
		}
		m.advanceSwitch(order, score, candidates, others, reports)
	case stageFinal:
		if score >= suspectScore || !m.serving(candidates, others, reports) || !m.idle(others, reports) {
			m.stage, m.takeover = stageSwitch, 1
		}
	case stageStop:
	}
}

// advanceSwitch counts the rounds in which the new version serves and the others end their requests, and ends the
// switch.
func (m *Machine) advanceSwitch(
	order *Order, score float64, candidates, others []tracker.Member, reports map[string]Report,
) {
	switch {
	case !order.Current().Switching, !m.serving(candidates, others, reports):
		m.takeover = 0 // upstreams that start now must know of the switch
	case m.takeover < 1 || m.idle(others, reports):
		m.takeover++
	}
	enough := m.takeover > 1 && m.tallied >= leastRuns || m.takeover > takeoverRounds
	if enough && score < suspectScore {
		m.stage = stageFinal
	}
}

// mayTakeOver reports whether the time and the evidence allow to bring the version into force.
func (m *Machine) mayTakeOver(now timekeeper.Millis, order *Order, score float64) bool {
	elapsed := float64(now-m.started) / float64(max(order.Period, 1))
	if score >= suspectScore || elapsed < observedShare || m.judge.Undecided() {
		return false
	}
	return m.tallied >= enoughRuns || elapsed >= latestShare && m.tallied > 0
}

// enoughSlots reports whether the new version can take over the work of the others.
func (m *Machine) enoughSlots(candidates, others []tracker.Member) bool {
	slots, needed := 0, 0
	for _, member := range candidates {
		if host := m.hosts[member.Name]; host == nil || !host.known || host.last.Healthy {
			slots += member.Slots
		}
	}
	for _, member := range others {
		needed += member.Slots
	}
	return slots > 0 && slots >= needed/minSlotsDivisor
}

// serving reports whether enough upstreams of the new version serve requests.
func (m *Machine) serving(candidates, others []tracker.Member, reports map[string]Report) bool {
	slots, needed := 0, 0
	for _, member := range candidates {
		if report, ok := reports[member.Name]; ok && report.Healthy && !report.Yields {
			slots += member.Slots
		}
	}
	for _, member := range others {
		needed += member.Slots
	}
	return slots > 0 && slots >= needed/minSlotsDivisor
}

// idle reports whether no upstream of the other versions has requests or takes any. A member that does not report for
// several rounds counts as gone.
func (m *Machine) idle(others []tracker.Member, reports map[string]Report) bool {
	for _, member := range others {
		report, ok := reports[member.Name]
		switch {
		case !ok && m.hosts[member.Name].lost < lostRounds:
			return false
		case ok && (m.planned[member.Name] != KindYield || !report.Yields || report.Working > 0):
			return false
		}
	}
	return true
}

// status returns the status to write, or nil if the one on the platform is right.
func (m *Machine) status(
	order *Order, candidates, others []tracker.Member, reports map[string]Report,
) *Status {
	next := order.Current()
	next.Target, next.Phase = order.Target, PhaseRunning
	next.Switching = m.stage == stageSwitch || m.stage == stageFinal
	if next.Started == 0 {
		next.Started = m.started
	}
	switch {
	case m.stage == stageStop && !m.halted:
		return nil // upstreams learn of it first: the platform may be restored to a state without the verdict
	case m.stage == stageStop:
		next.Phase = PhaseRolledBack
	case m.stage == stageFinal && m.held && m.idle(others, reports):
		next.Phase, next.Switching = PhaseCompleted, false
	case m.stage == stageTrial && m.alone >= aloneRounds && m.serving(candidates, others, reports):
		next.Phase = PhaseCompleted // nothing to move the requests from
	}
	current := order.Current()
	if current.Phase == next.Phase && current.Switching == next.Switching {
		return nil
	}
	return &next
}

// listsOthers reports whether any member has another version, also one that failed and may come back.
func listsOthers(order *Order, members []tracker.Member) bool {
	return slices.ContainsFunc(members, func(member tracker.Member) bool {
		return order.RoleOf(member.Version) == RoleServing && member.Version != order.Target
	})
}

// Progress describes a roll-out for operators.
type Progress struct {
	Service string            `json:"service"`
	Target  string            `json:"target"`
	Stage   string            `json:"stage"`
	Started timekeeper.Millis `json:"started"`
	Exposed int               `json:"exposed"`
	Served  int               `json:"served"`
	Judged  int               `json:"judged"` // runs of the version that the score is about
	Score   float64           `json:"score"`
	Reason  string            `json:"reason,omitempty"`
}

// Progress returns the state of the roll-out.
func (m *Machine) Progress(order *Order) Progress {
	score, reason := m.judge.Score()
	if m.reason != "" {
		reason = m.reason
	}
	return Progress{
		Service: order.Service, Target: order.Target, Stage: m.stage.String(), Started: m.started,
		Exposed: int(m.exposed), Served: int(m.served), Judged: int(m.tallied),
		Score: math.Round(score*10) / 10, Reason: reason,
	}
}

// String returns the name of the stage.
func (s stage) String() string {
	return [...]string{"trial", "switch", "final", "stop"}[s]
}
