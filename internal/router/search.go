package router

import (
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// search is one choice of an upstream.
type search struct {
	picker  *Picker
	request *Request
	now     timekeeper.Millis
	key     uint64
	retry   timekeeper.Millis // earliest end of the refusals met
}

// near returns the best candidate: from the local data centre unless its wait outweighs the delay to another.
func (s *search) near(usable *group, local string) candidate {
	var best candidate
	cost := 0.0
	for i := range usable.zones {
		if z := &usable.zones[i]; z.name == local {
			best = s.two(z.candidates)
			if best.member != nil {
				cost = s.wait(best)
			}
			if cost > float64(s.request.MaxLocalWait) && len(usable.zones) > 1 {
				best, cost = s.again(z.candidates, best, cost)
			}
			break
		}
	}
	if best.member != nil && cost <= float64(s.request.MaxLocalWait) {
		return best
	}
	for i := range usable.zones {
		z := &usable.zones[i]
		if z.name == local {
			continue
		}
		delay := 2 * float64(z.delay)
		if best.member != nil && cost <= delay {
			break // zones are sorted by delay
		}
		other := s.two(z.candidates)
		if other.member == nil {
			continue
		}
		if total := s.wait(other) + delay; best.member == nil || total < cost {
			best, cost = other, total
		}
	}
	return best
}

// two picks the better of two random candidates that take this work.
func (s *search) two(candidates []candidate) candidate {
	first := s.one(candidates, nil)
	if first.member == nil || s.picker.oneChoice {
		return first
	}
	second := s.one(candidates, first.endpoint)
	if second.member == nil || !s.better(second, first) {
		return first
	}
	return second
}

// again draws two more candidates, which is cheaper than the way to another data centre. A look at all of them would
// let many nodes with the same old reports choose the same one.
func (s *search) again(candidates []candidate, best candidate, cost float64) (candidate, float64) {
	other := s.two(candidates)
	if other.member == nil {
		return best, cost
	}
	if wait := s.wait(other); wait < cost {
		return other, wait
	}
	return best, cost
}

// one returns the first candidate that takes this work, from a random place on.
func (s *search) one(candidates []candidate, except *endpoint) candidate {
	if len(candidates) == 0 {
		return candidate{}
	}
	start := s.picker.intN(len(candidates))
	for i := range candidates {
		c := candidates[(start+i)%len(candidates)]
		if c.endpoint == except || avoided(s.request, c.member.Name) {
			continue
		}
		if until := c.endpoint.busyUntil(s.key, s.now); until > 0 {
			if s.retry == 0 || until < s.retry {
				s.retry = until
			}
			continue
		}
		return c
	}
	return candidate{}
}

// better reports whether a is to be preferred: by score, then by latency.
func (s *search) better(a, b candidate) bool {
	x, y := s.score(a), s.score(b)
	if !s.picker.noPace {
		x = (x + idleLoad) * a.endpoint.relativePace()
		y = (y + idleLoad) * b.endpoint.relativePace()
	}
	if x != y {
		return x < y
	}
	return a.endpoint.latencyMillis() < b.endpoint.latencyMillis()
}

// score is the load in units of the slots that are of use, raised by failures.
func (s *search) score(c candidate) float64 {
	slots := float64(max(c.member.Slots, 1)) * s.weight(c)
	return c.endpoint.load(s.now)/slots + errorPenalty*c.endpoint.errorRate(s.now)
}

// weight grows from warmUpFloor to 1 in the time after the upstream's start.
func (s *search) weight(c candidate) float64 {
	age := s.now - c.member.Started
	if age >= warmUp || s.picker.noWarmUp {
		return 1
	}
	return warmUpFloor + (1-warmUpFloor)*float64(max(age, 0))/float64(warmUp)
}

// wait estimates in ms how long work waits for a slot. Latency includes the wait at the score it was measured at, so it
// is scaled back to one service time.
func (s *search) wait(c candidate) float64 {
	score := s.score(c)
	if score <= 1 {
		return 0
	}
	return (score - 1) * max(c.endpoint.latencyMillis()/score, 1)
}
