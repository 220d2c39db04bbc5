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
	State       State   `msgpack:"s"`
	Host        string  `msgpack:"h"`
	Incarnation uint64  `msgpack:"n"`
	Sequence    uint64  `msgpack:"q"`
	Attempt     int     `msgpack:"t"`
	Account     string  `msgpack:"a"`
	Call        string  `msgpack:"c"`
	Status      int     `msgpack:"u"`
	Digest      uint64  `msgpack:"d"`
	Answer      *Answer `msgpack:"w"`
}

// holder is the process that holds a claim.
type holder struct {
	host        string
	incarnation uint64
}

// kind is the account and call that an id belongs to. An id is answered only within its kind.
type kind struct{ account, call string }
