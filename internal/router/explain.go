package router

import (
	"cmp"
	"math"
	"slices"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// Candidate describes a member of a service as Pick sees it for a request.
type Candidate struct {
	Name    string            `json:"name"`
	Zone    string            `json:"zone"`
	Version string            `json:"version,omitempty"`
	Weight  int               `json:"weight,omitempty"` // in thousandths; 0 for as many requests as others
	Load    float64           `json:"load"`             // requests there, by this node's own and the last report
	Slots   int               `json:"slots"`
	Age     timekeeper.Millis `json:"age"`   // of the last report; -1 without one
	Score   float64           `json:"score"` // load per slot, with a penalty for failures
	Pace    float64           `json:"pace"`  // service time as a multiple of the mean
	Wait    timekeeper.Millis `json:"wait"`  // estimated, with the way to another data centre
	Passed  string            `json:"passed,omitempty"`
}

// Reasons for which a member is passed over.
const (
	PassedNotReady = "not ready"
	PassedRefusing = "refused such requests"
	PassedFarther  = "the data centre of this node has room"
	PassedOther    = "this node prefers others of the data centre"
)

// Explain returns the members of the service of a request, those that Pick may choose first, each with what decides.
func (p *Picker) Explain(request Request) []Candidate {
	s := search{picker: p, request: &request, now: p.clock.Now(), class: classKey(&request)}
	members := p.directory.Service(request.Service)
	described := make([]Candidate, 0, len(members))
	near := false
	preferred := p.preferred(request.Service)
	accepting := make(map[string]bool) // data centres in which a preferred member accepts the request
	for i := range members {
		c := s.describe(&members[i])
		near = near || c.Passed == "" && c.Zone == p.zone && c.Wait <= request.MaxLocalWait
		accepting[c.Zone] = accepting[c.Zone] || c.Passed == "" && preferred[c.Name]
		described = append(described, c)
	}
	for i := range described {
		switch c := &described[i]; {
		case c.Passed != "":
		case near && c.Zone != p.zone:
			c.Passed = PassedFarther
		case accepting[c.Zone] && !preferred[c.Name]:
			c.Passed = PassedOther
		}
	}
	slices.SortFunc(described, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Passed, b.Passed), cmp.Compare(a.Score, b.Score), cmp.Compare(a.Name, b.Name))
	})
	return described
}

// preferred returns the names of the members of a service that this node prefers.
func (p *Picker) preferred(service string) map[string]bool {
	names := make(map[string]bool)
	for _, z := range p.group(service).zones {
		for _, c := range z.preferred {
			names[c.member.Name] = true
		}
	}
	return names
}

// describe returns what decides about one member.
func (s *search) describe(member *tracker.Member) Candidate {
	found := candidate{member, s.picker.endpoint(member.Name)}
	described := Candidate{
		Name: member.Name, Zone: member.Zone, Version: member.Version, Weight: member.Weight, Slots: member.Slots,
		Load: round(found.endpoint.load(s.now)), Score: round(s.score(found)),
		Pace: round(found.endpoint.relativeServiceTime()), Age: -1,
		Wait: timekeeper.Millis(s.estimateWait(found)) + 2*s.picker.delay(member.Zone),
	}
	if reported := timekeeper.Millis(found.endpoint.reportedAt.Load()); reported > 0 {
		described.Age = s.now - reported
	}
	switch {
	case !member.Usable():
		described.Passed = PassedNotReady
	case found.endpoint.refusedUntil(s.class, s.now) > 0:
		described.Passed = PassedRefusing
	}
	return described
}

func round(value float64) float64 {
	return math.Round(value*100) / 100
}
