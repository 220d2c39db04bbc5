package registrar

import (
	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// State is the state of the upstream beside a node. Registrar returns copies of it.
type State struct {
	Heartbeat
	Ready        bool              // accepts new requests
	Responded    bool              // a response showed whether the upstream has a limit
	Limit        admitter.Limit    // stated in the last response
	ColdStartEnd timekeeper.Millis // end of the slow start, by the clock of the node
}
