package compiler

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// Rank orders work. Lower Order goes first. Target is the time in ms within which an answer has its worth.
// Share is the percentage of started work that the rank keeps while other ranks flood.
type Rank struct {
	Name   string            `json:"name"   msgpack:"n" validate:"required,name"`
	Order  int               `json:"order"  msgpack:"o" validate:"min=0,max=15"`
	Target timekeeper.Millis `json:"target" msgpack:"t" validate:"min=1,max=3600000"`
	Worth  int               `json:"worth"  msgpack:"w" validate:"min=0,max=1000000"`
	Share  int               `json:"share"  msgpack:"s" validate:"min=0,max=100"`
}
