package router

import (
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// search holds the state of one choice of an upstream.
type search struct {
	picker        *Picker
	request       *Request
	now           timekeeper.Millis
	class         uint64            // class key of the request
	earliestRetry timekeeper.Millis // earliest end of the refusals found, in ms; 0 if there are none
}

// pickNearest returns the best candidate. It leaves the local data centre if that has no candidate, or if the wait
// there exceeds MaxLocalWait and also the sum of round-trip delay and wait elsewhere.
func (s *search) pickNearest(members *group, localZone string) candidate {
	var best candidate
	cost := 0.0 // estimated wait of best in ms, plus the round trip if it is in another data centre
	for i := range members.zones {
		if z := &members.zones[i]; z.name == localZone {
			best = s.pickInZone(z)
			if best.member != nil {
				cost = s.estimateWait(best)
			}
			if cost > float64(s.request.MaxLocalWait) && len(members.zones) > 1 {
				best, cost = s.pickAgain(z, best, cost)
			}
			break
		}
	}
	if best.member != nil && cost <= float64(s.request.MaxLocalWait) {
		return best
	}
	for i := range members.zones {
		z := &members.zones[i]
		if z.name == localZone {
			continue
		}
		delay := 2 * float64(z.delay)
		if best.member != nil && cost <= delay {
			break // zones are sorted by delay
		}
		other := s.pickInZone(z)
		if other.member == nil {
			continue
		}
		if total := s.estimateWait(other) + delay; best.member == nil || total < cost {
			best, cost = other, total
		}
	}
	return best
}

// pickInZone picks one of the preferred candidates of a data centre, or any if none of them accepts the request.
func (s *search) pickInZone(z *zone) candidate {
	if best := s.pickOfTwo(z.preferred); best.member != nil {
		return best
	}
	return s.pickOfTwo(z.candidates)
}

// pickOfTwo returns the better of two random candidates that accept the request.
func (s *search) pickOfTwo(candidates []candidate) candidate {
	first := s.pickRandom(candidates, nil)
	if first.member == nil || s.picker.singleChoice {
		return first
	}
	second := s.pickRandom(candidates, first.endpoint)
	if second.member == nil || !s.isBetter(second, first) {
		return first
	}
	return second
}

// pickAgain picks a second time and returns the pick with the shorter estimated wait, and that wait in ms. A second
// pick costs less than a round trip to another data centre. Comparing all candidates would let many nodes with the same
// stale reports choose the same one.
func (s *search) pickAgain(z *zone, best candidate, cost float64) (candidate, float64) {
	other := s.pickInZone(z)
	if other.member == nil {
		return best, cost
	}
	if wait := s.estimateWait(other); wait < cost {
		return other, wait
	}
	return best, cost
}

// pickRandom starts at a random position and returns the first candidate that accepts the request. A candidate with a
// reduced weight is passed over in proportion, unless no other accepts the request.
func (s *search) pickRandom(candidates []candidate, excluded *endpoint) candidate {
	if len(candidates) == 0 {
		return candidate{}
	}
	var reduced candidate
	start := s.picker.intN(len(candidates))
	for i := range candidates {
		c := candidates[(start+i)%len(candidates)]
		if c.endpoint == excluded || isAvoided(s.request, c.member.Name) {
			continue
		}
		if until := c.endpoint.refusedUntil(s.class, s.now); until > 0 {
			if s.earliestRetry == 0 || until < s.earliestRetry {
				s.earliestRetry = until
			}
			continue
		}
		if weight := c.member.Weight; weight > 0 && weight < tracker.FullWeight &&
			s.picker.intN(tracker.FullWeight) >= weight {
			reduced = c
			continue
		}
		return c
	}
	return reduced
}

// isBetter reports whether a is preferable to b: by score and relative service time, then by latency.
func (s *search) isBetter(a, b candidate) bool {
	x, y := s.score(a), s.score(b)
	if !s.picker.noServiceTimes {
		x = (x + baseLoad) * a.endpoint.relativeServiceTime()
		y = (y + baseLoad) * b.endpoint.relativeServiceTime()
	}
	if x != y {
		return x < y
	}
	return a.endpoint.latencyMillis() < b.endpoint.latencyMillis()
}

// score is the load per slot, with fewer slots during warm-up, plus a penalty for failures. Where a limit leaves fewer
// slots, the load includes the request itself, since these slots may be less than one.
func (s *search) score(c candidate) float64 {
	slots, load := float64(max(c.member.Slots, 1))*s.warmUpWeight(c), c.endpoint.load(s.now)
	if capacity := c.endpoint.limitedSlots(s.now); capacity > 0 && capacity < slots {
		slots, load = capacity, load+1
	}
	return load/slots + errorPenalty*c.endpoint.errorRate(s.now)
}

// warmUpWeight grows from warmUpFloor to 1 during warmUpTime after the start of the upstream.
func (s *search) warmUpWeight(c candidate) float64 {
	age := s.now - c.member.Started
	if age >= warmUpTime || s.picker.noWarmUp {
		return 1
	}
	return warmUpFloor + (1-warmUpFloor)*float64(max(age, 0))/float64(warmUpTime)
}

// estimateWait estimates in ms how long a request waits for a slot. The measured latency includes the wait, so it is
// divided by the score to get one service time.
func (s *search) estimateWait(c candidate) float64 {
	score := s.score(c)
	if score <= 1 {
		return 0
	}
	return (score - 1) * max(c.endpoint.latencyMillis()/score, 1)
}
