package deduplicator

// State is what an owner or a host node remembers of an id.
type State uint8

// States of a record.
const (
	// StateNone is an id without a record.
	StateNone State = iota
	// StateReleased was claimed, and its host certified that the attempt never started.
	StateReleased
	// StateClaimed is held by an attempt that may have started.
	StateClaimed
	// StateDone has run. Its answer may have been evicted.
	StateDone
)

// Record is the state of an id as sent between nodes. Sequence numbers the claims of one host process. Answer is nil
// if it is not kept.
type Record struct {
	ID          ID      `msgpack:"i"`
	State       State   `msgpack:"s,omitempty"`
	Host        string  `msgpack:"h,omitempty"`
	Incarnation uint64  `msgpack:"n,omitempty"`
	Sequence    uint64  `msgpack:"q,omitempty"`
	Attempt     int     `msgpack:"t,omitempty"`
	Account     string  `msgpack:"a,omitempty"`
	Call        string  `msgpack:"c,omitempty"`
	Status      int     `msgpack:"u,omitempty"`
	Digest      uint64  `msgpack:"d,omitempty"`
	Answer      *Answer `msgpack:"w,omitempty"`
}

// holder is the process that holds a claim.
type holder struct {
	host        string
	incarnation uint64
}

// kind is the account and call that an id belongs to. An id is answered only within its kind.
type kind struct{ account, call string }
