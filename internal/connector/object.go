package connector

// Object is one stored value. Revision grows with every write to the platform within an Era; see Snapshot.
type Object struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Era      uint64 `json:"era,omitempty"`
	Revision uint64 `json:"revision"`
	Value    []byte `json:"value,omitempty"`
	Status   []byte `json:"status,omitempty"` // what nodes state about the object; see StatusWriter
	Deleted  bool   `json:"deleted,omitempty"`
}

// Snapshot holds all objects of one kind, or the changed ones, as of a revision of the whole platform. Era counts how
// often the platform came back from an older copy of its objects: the revisions of two eras are not comparable. It is 0
// if the platform states none.
type Snapshot struct {
	Era      uint64   `json:"era,omitempty"`
	Revision uint64   `json:"revision"`
	Objects  []Object `json:"objects"`
}

// Kinds of objects on the platform.
const (
	KindSource  = "source"
	KindHead    = "head"
	KindSection = "section"
	KindLease   = "lease"
	KindStatus  = "status"
	KindAudit   = "audit"
	KindSeed    = "seed"
	KindToken   = "token"
	// KindSchedule objects hold the owners of request ids. They are named "zone.<data centre>" and "service.<service>".
	KindSchedule = "schedule"
)
