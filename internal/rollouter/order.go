// Package rollouter moves the requests of a service to another version of its upstreams, step by step, and back if that
// version fails.
package rollouter

import (
	"slices"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Phase is the state of a roll-out on the platform.
type Phase string

// Phases of a roll-out. The last two are final.
const (
	PhaseRunning    Phase = "running"
	PhaseCompleted  Phase = "completed"
	PhaseRolledBack Phase = "rolledback"
)

// maxRejected bounds the versions that a status lists as rejected.
const maxRejected = 8

// Order is an operator's request to move a service to another version, with the status that nodes wrote last.
type Order struct {
	Name    string            `json:"name"` // of the order on the platform
	Service string            `json:"service"`
	Target  string            `json:"target"` // version that is to serve the requests
	Period  timekeeper.Millis `json:"period"` // time for the roll-out
	Status  Status            `json:"status"`
	Era     uint64            `json:"-"`       // of the platform
	Change  uint64            `json:"change"`  // revision of the order and its status
	Removed bool              `json:"removed"` // by the operator
}

// Status is what the nodes store about a roll-out.
type Status struct {
	Phase     Phase             `json:"phase"`
	Target    string            `json:"target"`              // version of the order that the status is about
	Switching bool              `json:"switching,omitempty"` // other versions take no new requests
	Started   timekeeper.Millis `json:"started,omitempty"`
	Rejected  []string          `json:"rejected,omitempty"` // versions of earlier orders that were not completed
}

// Current returns the status of the order; its zero value if the last status is about an earlier order.
func (o *Order) Current() Status {
	if o.Status.Target == o.Target {
		return o.Status
	}
	return Status{Target: o.Target, Rejected: o.rejected()}
}

// rejected returns the versions that may not serve requests because their roll-outs were not completed.
func (o *Order) rejected() []string {
	rejected := slices.Clone(o.Status.Rejected)
	earlier := o.Status.Target
	if earlier != "" && earlier != o.Target && o.Status.Phase != PhaseCompleted && !slices.Contains(rejected, earlier) {
		rejected = append(rejected, earlier)
	}
	rejected = slices.DeleteFunc(rejected, func(version string) bool { return version == o.Target })
	return rejected[max(len(rejected)-maxRejected, 0):]
}

// Running reports whether the roll-out is neither completed nor rolled back.
func (o *Order) Running() bool {
	phase := o.Current().Phase
	return !o.Removed && phase != PhaseCompleted && phase != PhaseRolledBack
}

// Role is the part that a version of a service has in a roll-out.
type Role uint8

// Roles of a version.
const (
	RoleServing   Role = iota // serves requests
	RoleCandidate             // serves as many requests as it is granted
	RoleRejected              // serves none
)

// RoleOf returns the role of a version.
func (o *Order) RoleOf(version string) Role {
	status := o.Current()
	switch {
	case version == "":
		return RoleServing
	case version != o.Target:
		if slices.Contains(status.Rejected, version) {
			return RoleRejected
		}
		return RoleServing
	case status.Phase == PhaseCompleted:
		return RoleServing
	case status.Phase == PhaseRolledBack, o.Removed:
		return RoleRejected
	}
	return RoleCandidate
}
