// Package tracker keeps the membership table of the mesh and detects failed members.
package tracker

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// Member is the membership entry of one node and its upstream. Only the node itself increments Sequence.
type Member struct {
	Name        string            `json:"name"        msgpack:"n"`
	Zone        string            `json:"zone"        msgpack:"z"`
	Service     string            `json:"service"     msgpack:"s"`
	Peer        string            `json:"peer"        msgpack:"p"` // address of the node protocol
	Caller      string            `json:"caller"      msgpack:"c"` // address for callers
	Slots       int               `json:"slots"       msgpack:"l"`
	Incarnation uint64            `json:"incarnation" msgpack:"i"`
	Sequence    uint64            `json:"sequence"    msgpack:"q"`
	State       State             `json:"state"       msgpack:"t"`
	Health      Health            `json:"health"      msgpack:"h"`
	Known       uint64            `json:"known"       msgpack:"k"`           // highest verified configuration version
	Started     timekeeper.Millis `json:"started"     msgpack:"b"`           // when the upstream became ready
	Version     string            `json:"version"     msgpack:"v,omitempty"` // of the upstream's software
	// Weight is the share of requests that the upstream gets, in thousandths of that of another one; 0 for as many.
	Weight int `json:"weight" msgpack:"w,omitempty"`
}

// Usable reports whether new calls may be sent to the member.
func (m *Member) Usable() bool {
	return m.State == StateReady && m.Health <= HealthSuspect
}

// Newer reports whether m supersedes other, an entry of the same name.
func (m *Member) Newer(other *Member) bool {
	if m.Incarnation != other.Incarnation {
		return m.Incarnation > other.Incarnation
	}
	if m.Sequence != other.Sequence {
		return m.Sequence > other.Sequence
	}
	return m.Health > other.Health
}
