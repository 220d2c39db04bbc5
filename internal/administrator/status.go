package administrator

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// statusTimeout bounds the read of refusals, so that status responds quickly in a platform outage.
const statusTimeout = timekeeper.Second

// Status is the response to GET /v1/status. Zones and Marks are set for operators only.
type Status struct {
	Node     Node                `json:"node"`
	Ready    bool                `json:"ready"`
	Draining bool                `json:"draining"`
	Active   uint64              `json:"active"` // active version; 0 if there is none
	Digest   string              `json:"digest,omitempty"`
	Known    uint64              `json:"known"`    // highest version that the node has verified
	Floor    uint64              `json:"floor"`    // version below which the node must not serve
	Platform classifier.Code     `json:"platform"` // result code of the platform read made for this response
	Zones    []Zone              `json:"zones,omitempty"`
	Marks    []Mark              `json:"marks,omitempty"`
	Refusals []publisher.Refusal `json:"refusals,omitempty"`
}

// Zone counts the members of a data centre by health and state, from the membership table of this node.
type Zone struct {
	Name     string   `json:"name"`
	Ready    int      `json:"ready"`
	Starting int      `json:"starting"`
	Draining int      `json:"draining"`
	Suspect  int      `json:"suspect"`
	Failed   int      `json:"failed"`
	Left     int      `json:"left"`
	Behind   int      `json:"behind"` // live members that know only versions below the active one
	Relays   []string `json:"relays"`
}

// status does not fail if the read of the refusals fails; the field Platform then has the code of that failure.
func (a *Administrator) status(w http.ResponseWriter, r *http.Request, p Principal) error {
	if err := checkQuery(r.URL.Query()); err != nil {
		return err
	}
	views := a.options.Views
	status := Status{
		Node: a.options.Node, Ready: views.Ready(), Draining: a.options.Draining(),
		Known: views.Known(), Floor: views.Floor(),
	}
	view := views.Active()
	if view != nil {
		status.Active, status.Digest = view.Version, view.Digest
	}
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout.Duration())
	defer cancel()
	refusals, err := a.options.Publisher.Refusals(ctx)
	status.Platform = classifier.CodeOf(err)
	status.Refusals = visibleRefusals(refusals, p)
	if p.Operator {
		status.Zones = a.zones(view)
		if a.options.Marks != nil {
			status.Marks = a.options.Marks()
		}
	}
	writeJSON(w, http.StatusOK, status)
	return nil
}

// visibleRefusals returns the refusals that the principal may see. An account sees only its own.
func visibleRefusals(refusals []publisher.Refusal, p Principal) []publisher.Refusal {
	if p.Operator {
		return refusals
	}
	var shown []publisher.Refusal
	for _, refusal := range refusals {
		if p.sharesAccount(refusal.Author) {
			newRedactor(p).redactRefusal(&refusal)
			shown = append(shown, refusal)
		}
	}
	return shown
}

// zones counts the members of each data centre of the view and of the node's own data centre.
func (a *Administrator) zones(view *compiler.View) []Zone {
	names := []string{a.options.Node.Zone}
	version := uint64(0)
	if view != nil {
		version = view.Version
		for _, service := range view.Services {
			names = append(names, service.Zones...)
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	zones := make([]Zone, 0, len(names))
	for _, name := range names {
		zone := Zone{Name: name, Relays: []string{}}
		for _, member := range a.options.Members.Zone(name) {
			zone.count(&member, version)
		}
		for _, relay := range a.options.Members.Relays(name) {
			zone.Relays = append(zone.Relays, relay.Name)
		}
		zones = append(zones, zone)
	}
	slices.SortFunc(zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	return zones
}

// count adds a member. A suspect member counts by its state as well.
func (z *Zone) count(member *tracker.Member, version uint64) {
	switch member.Health {
	case tracker.HealthFailed:
		z.Failed++
		return
	case tracker.HealthLeft:
		z.Left++
		return
	case tracker.HealthSuspect:
		z.Suspect++
	case tracker.HealthAlive:
	}
	switch member.State {
	case tracker.StateReady:
		z.Ready++
	case tracker.StateDraining:
		z.Draining++
	case tracker.StateStarting:
		z.Starting++
	}
	if member.Known < version {
		z.Behind++
	}
}
