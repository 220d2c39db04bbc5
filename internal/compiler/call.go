package compiler

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// Call is one kind of call: the requests that it matches and how they are handled. Path is a prefix of whole segments.
// A call without a method matches all methods; its path ends with a slash and matches every path that starts with it.
type Call struct {
	Name       string            `json:"name"       msgpack:"n" validate:"required,name"`
	Service    string            `json:"service"    msgpack:"s" validate:"required,name"`
	Method     string            `json:"method"     msgpack:"m" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	Path       string            `json:"path"       msgpack:"p" validate:"required,path,max=1024"`
	Rank       string            `json:"rank"       msgpack:"r" validate:"required,name"`
	Idempotent bool              `json:"idempotent" msgpack:"i"`
	Internal   bool              `json:"internal"   msgpack:"x"`
	Public     bool              `json:"public,omitempty" msgpack:"u,omitempty"` // needs no key
	Timeout    timekeeper.Millis `json:"timeout"    msgpack:"t" validate:"min=1,max=3600000"`
	// Attempts limits how many upstreams one request is sent to; with 0 only the retry rules limit it.
	Attempts int `json:"attempts,omitempty" msgpack:"a,omitempty"`
	// Split distributes the requests among several services by weight. Service is the first of them.
	Split []Part `json:"split,omitempty" msgpack:"w,omitempty"`
}
