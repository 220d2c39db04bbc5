package compiler

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// Rank is a priority class of requests. Ranks with a lower Order are served first. Target is the response time in ms
// after which a response no longer has its value, Worth. Share is the percentage of the upstream's service time that
// is guaranteed to the rank while other ranks are overloaded: a rank with waiting requests that got less in the last
// second is served before the ranks that got their shares.
type Rank struct {
	Name   string            `json:"name"   msgpack:"n" validate:"required,name"`
	Order  int               `json:"order"  msgpack:"o" validate:"min=0,max=15"`
	Target timekeeper.Millis `json:"target" msgpack:"t" validate:"min=1,max=3600000"`
	Worth  int               `json:"worth"  msgpack:"w" validate:"min=0,max=1000000"`
	Share  int               `json:"share"  msgpack:"s" validate:"min=0,max=100"`
}
