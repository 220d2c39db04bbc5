package rollouter

import (
	"math"
	"slices"
)

// The judge compares the runs of the new version with those of the others, for each call, by two cumulative sums
// (CUSUM) of log-likelihood ratios: one of failures, one of slow runs. A sum counts for the hypothesis that the new
// version is much worse against the one that it is at most twice as bad as the others, and never falls below 0, so that
// a version that turns bad late is found as soon as one that is bad from the start.
const (
	// verdictScore is the sum from which a version counts as bad, and suspectScore that from which it is not brought into
	// force yet. Runs that succeed lower a sum that has reached the bound of one upstream, so the two are far apart.
	verdictScore = 10.0
	suspectScore = 2.0
	// hostShare is the largest part of verdictScore that one upstream can contribute: a single slow or failing machine
	// does not make the version bad.
	hostShare = 0.55
	// slowOctaves is the number of half octaves above the median of the other versions from which a run counts as slow.
	slowOctaves = 4
	// referenceDecay is the factor by which earlier runs of the other versions lose weight with each round.
	referenceDecay = 0.93
	// minReference is the number of runs below which an upstream of the other versions, or all of them for the median
	// duration, show nothing. minUpstreams is the number of upstreams that it takes to show what is usual.
	minReference = 10
	minUpstreams = 2
	// minRemembered is the number of runs of an upstream of the other versions below which it is forgotten.
	minRemembered = 0.5
)

// test is one of the two hypotheses about the share of bad runs.
type test struct {
	name      string
	tolerated float64 // least share of bad runs that is tolerated
	bad       float64 // least share of bad runs of a bad version
}

var (
	failureTest = test{name: "failures", tolerated: 0.05, bad: 0.3}
	slowTest    = test{name: "slow runs", tolerated: 0.12, bad: 0.4}
)

// maxTolerated bounds the tolerated share: above it, the two hypotheses are too close to each other.
const maxTolerated = 0.5

// weights returns what a good and a bad run add to the sum, given the share of bad runs of the other versions.
func (t test) weights(reference float64) (good, bad float64) {
	null := min(max(t.tolerated, 2*reference), maxTolerated)
	alternative := min(max(t.bad, 2*null), 0.95)
	return math.Log((1 - alternative) / (1 - null)), math.Log(alternative / null)
}

// maxUsualFailures is the share of failed runs above which, in both the new version and the others, comparing the two
// shows nothing.
const maxUsualFailures = 0.1

// Judge decides whether a new version is bad.
type Judge struct {
	calls  map[string]*callJudge
	failed float64 // recent runs of the new version that failed, over all calls
	runs   float64 // all of its recent runs
}

type callJudge struct {
	others   map[string]*sample // runs of the other versions, by upstream
	failures cusum
	slow     cusum
}

// sample holds recent runs; earlier ones have lost weight.
type sample struct {
	failed    float64
	durations [durationBuckets]float64 // of runs that did not fail
}

// cusum is a sum that never falls below 0, with the part that each upstream contributed since it was 0.
type cusum struct {
	sum   float64
	hosts map[string]float64
	limit float64 // of one upstream
}

// NewJudge returns a judge without evidence.
func NewJudge() *Judge {
	return &Judge{calls: make(map[string]*callJudge)}
}

func (j *Judge) call(name string) *callJudge {
	found := j.calls[name]
	if found == nil {
		found = &callJudge{others: make(map[string]*sample)}
		j.calls[name] = found
	}
	return found
}

// Decay lets earlier runs of the other versions lose weight. It is called once a round.
func (j *Judge) Decay() {
	j.failed, j.runs = j.failed*referenceDecay, j.runs*referenceDecay
	for _, c := range j.calls {
		for name, other := range c.others {
			other.decay()
			if other.runs() < minRemembered {
				delete(c.others, name)
			}
		}
	}
}

// AddReference adds runs of another version on an upstream.
func (j *Judge) AddReference(call, host string, t *Tally) {
	c := j.call(call)
	other := c.others[host]
	if other == nil {
		other = &sample{}
		c.others[host] = other
	}
	other.failed += float64(t.Failed)
	for i, count := range t.Durations {
		other.durations[i] += float64(count)
	}
}

// Add adds runs of the new version on an upstream. With several, no upstream alone makes the version bad.
func (j *Judge) Add(call, host string, several bool, t *Tally) {
	c := j.call(call)
	limit := math.Inf(1)
	if several {
		limit = verdictScore * hostShare
	}
	failed, all := float64(t.Failed), float64(t.runs())
	j.failed, j.runs = j.failed+failed, j.runs+all
	usual := usualShare(c.others, func(s *sample) float64 { return s.failed })
	c.failures.add(host, limit, failureTest, usual, all-failed, failed)
	reference := c.reference()
	if reference.answered() < minReference {
		return
	}
	slowFrom := min(reference.median()+slowOctaves, durationBuckets)
	slow := failed // a slow run may end at its deadline
	for _, count := range t.Durations[slowFrom:] {
		slow += float64(count)
	}
	usual = usualShare(c.others, func(s *sample) float64 { return s.failed + sum(s.durations[slowFrom:]) })
	c.slow.add(host, limit, slowTest, usual, all-slow, slow)
}

// Undecided reports whether the new version fails often, but the other versions do, too: its failures may have the same
// cause, or one of their own.
func (j *Judge) Undecided() bool {
	if j.failed <= maxUsualFailures*j.runs {
		return false
	}
	others := make(map[string]*sample) // over all calls
	for _, c := range j.calls {
		for name, other := range c.others {
			if others[name] == nil {
				others[name] = &sample{}
			}
			others[name].add(other)
		}
	}
	return usualShare(others, func(s *sample) float64 { return s.failed }) > maxUsualFailures
}

// reference returns the runs of all other versions.
func (c *callJudge) reference() *sample {
	var all sample
	for _, other := range c.others {
		all.add(other)
	}
	return &all
}

// usualShare returns the share of the runs of the other versions that are bad, as on the median upstream; of two, as on
// the better one. Upstreams with few runs are left out. A single one may be faulty and shows nothing: the share is then
// 0, since a good version that is rolled back costs callers less than a bad one that goes on.
func usualShare(others map[string]*sample, bad func(*sample) float64) float64 {
	shares := make([]float64, 0, len(others))
	for _, other := range others {
		if runs := other.runs(); runs >= minReference {
			shares = append(shares, bad(other)/runs)
		}
	}
	if len(shares) < minUpstreams {
		return 0
	}
	slices.Sort(shares)
	return shares[(len(shares)-1)/2]
}

func (s *sample) add(other *sample) {
	s.failed += other.failed
	for i, count := range other.durations {
		s.durations[i] += count
	}
}

func (s *sample) decay() {
	s.failed *= referenceDecay
	for i := range s.durations {
		s.durations[i] *= referenceDecay
	}
}

func (s *sample) runs() float64     { return s.failed + s.answered() }
func (s *sample) answered() float64 { return sum(s.durations[:]) }

// median returns the bucket of the median duration.
func (s *sample) median() int {
	seen, half := 0.0, s.answered()/2
	for i, count := range s.durations {
		if seen += count; seen >= half {
			return i
		}
	}
	return durationBuckets - 1
}

func sum(values []float64) float64 {
	total := 0.0
	for _, value := range values {
		total += value
	}
	return total
}

// add adds the runs of one upstream to the sum.
func (c *cusum) add(host string, limit float64, t test, reference, good, bad float64) {
	goodWeight, badWeight := t.weights(reference)
	change := good*goodWeight + bad*badWeight
	if c.hosts == nil {
		c.hosts = make(map[string]float64)
	}
	c.limit = limit
	change = min(change, limit-c.hosts[host])
	c.hosts[host] += change
	if c.sum += change; c.sum <= 0 {
		c.sum = 0
		clear(c.hosts)
	}
}

// Score returns the highest sum and what it is about: that of one call or that of all calls together.
func (j *Judge) Score() (score float64, reason string) {
	failures, slow := make([]*cusum, 0, len(j.calls)), make([]*cusum, 0, len(j.calls))
	for name, c := range j.calls {
		failures, slow = append(failures, &c.failures), append(slow, &c.slow)
		if c.failures.sum > score {
			score, reason = c.failures.sum, failureTest.name+" of "+name
		}
		if c.slow.sum > score {
			score, reason = c.slow.sum, slowTest.name+" of "+name
		}
	}
	if total := total(failures); total > score {
		score, reason = total, failureTest.name+" of all calls"
	}
	if total := total(slow); total > score {
		score, reason = total, slowTest.name+" of all calls"
	}
	return score, reason
}

// total adds sums, in which an upstream counts no more than in one of them.
func total(sums []*cusum) float64 {
	hosts := make(map[string]float64)
	limit := 0.0
	for _, c := range sums {
		limit = max(limit, c.limit)
		for host, part := range c.hosts {
			hosts[host] += part
		}
	}
	all := 0.0
	for _, part := range hosts {
		all += min(part, limit)
	}
	return all
}
