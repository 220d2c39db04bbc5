package compiler

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// Call is one kind of call: the requests it matches and how they are treated. Path matches whole segments as a prefix.
// A call without a method takes all methods; its path ends with a slash and matches what goes on behind that slash.
type Call struct {
	Name       string            `json:"name"       msgpack:"n" validate:"required,name"`
	Service    string            `json:"service"    msgpack:"s" validate:"required,name"`
	Method     string            `json:"method"     msgpack:"m" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	Path       string            `json:"path"       msgpack:"p" validate:"required,path,max=1024"`
	Rank       string            `json:"rank"       msgpack:"r" validate:"required,name"`
	Idempotent bool              `json:"idempotent" msgpack:"i"`
	Internal   bool              `json:"internal"   msgpack:"x"`
	Timeout    timekeeper.Millis `json:"timeout"    msgpack:"t" validate:"min=1,max=3600000"`
	// Attempts bounds the upstreams that one request is sent to; 0 leaves it to the retry rules.
	Attempts int `json:"attempts,omitempty" msgpack:"a,omitempty"`
	// Split shares the requests among several services by weight. Service is the first of them.
	Split []Part `json:"split,omitempty" msgpack:"w,omitempty"`
}
