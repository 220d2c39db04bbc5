package deduplicator

// State is the state of an id at an owner or a host node.
type State uint8

// States of a record.
const (
	// StateNone means that there is no record of the id.
	StateNone State = iota
	// StateReleased means that the host of the claim certified that the attempt never started.
	StateReleased
	// StateClaimed means that an attempt that may have started has claimed the id.
	StateClaimed
	// StateDone means that the id ran. Its answer may have been evicted.
	StateDone
)

// Record is the state of an id as sent between nodes. Host and Incarnation identify the host process, and Sequence is
// the number of the claim among the claims of that process. Status and Digest are those of the first answer. Answer is
// nil if it is not stored.
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

// hostProcess identifies the host process of a claim: the name of the node, and the incarnation of its process, which
// is higher after each restart.
type hostProcess struct {
	host        string
	incarnation uint64
}

// callKey is the account and call that an id belongs to. Its answer is replayed only to requests with the same key.
type callKey struct{ account, call string }
