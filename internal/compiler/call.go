package compiler

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// Call is one kind of call: the requests it matches and how they are treated. Path matches whole segments as a prefix.
type Call struct {
	Name       string            `json:"name"       msgpack:"n" validate:"required,name"`
	Service    string            `json:"service"    msgpack:"s" validate:"required,name"`
	Method     string            `json:"method"     msgpack:"m" validate:"required,oneof=GET HEAD POST PUT PATCH DELETE"`
	Path       string            `json:"path"       msgpack:"p" validate:"required,path,max=1024"`
	Rank       string            `json:"rank"       msgpack:"r" validate:"required,name"`
	Idempotent bool              `json:"idempotent" msgpack:"i"`
	Internal   bool              `json:"internal"   msgpack:"x"`
	Timeout    timekeeper.Millis `json:"timeout"    msgpack:"t" validate:"min=1,max=3600000"`
}
