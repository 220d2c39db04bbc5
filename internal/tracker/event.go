package tracker

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// Event is an input of the state machine.
type Event interface{ event() }

// Action is an output of the state machine.
type Action interface{ action() }

type (
	// tick passes time; it comes every tickSpan.
	tick struct{}
	// pingReceived is a Ping of another node; its actions include an answer.
	pingReceived struct{ ping Ping }
	// exchangeReceived is an Exchange of another node; its actions include an answer.
	exchangeReceived struct{ exchange Exchange }
	// indirectReceived is an Indirect of another node; its actions include an answer with a ping to forward.
	indirectReceived struct{ indirect Indirect }
	// pingAnswered ends a sendPing or sendIndirect.
	pingAnswered struct {
		probe uint64
		pong  Pong
	}
	// pingFailed ends a sendPing or sendIndirect without a Pong.
	pingFailed struct{ probe uint64 }
	// exchangeAnswered ends a sendExchange that had stamps.
	exchangeAnswered struct {
		zone, address string
		reply         Exchanged
	}
	// exchangeFailed ends a sendExchange without a reply.
	exchangeFailed struct{ zone string }
	// selfChanged changes the node's own entry.
	selfChanged struct{ change func(*Member) }
	// observed raises Known of members, by name.
	observed struct{ known map[string]uint64 }
	// joinAsked adds addresses through which to join.
	joinAsked struct{ addresses []string }
	// leaveAsked ends the membership.
	leaveAsked struct{}
)

func (tick) event()             {}
func (pingReceived) event()     {}
func (exchangeReceived) event() {}
func (indirectReceived) event() {}
func (pingAnswered) event()     {}
func (pingFailed) event()       {}
func (exchangeAnswered) event() {}
func (exchangeFailed) event()   {}
func (selfChanged) event()      {}
func (observed) event()         {}
func (joinAsked) event()        {}
func (leaveAsked) event()       {}

type (
	// sendPing sends a Ping; its end comes back as pingAnswered or pingFailed.
	sendPing struct {
		probe   uint64
		address string
		ping    Ping
		timeout timekeeper.Millis
	}
	// sendIndirect asks another member to ping the target; its end comes back like that of a sendPing.
	sendIndirect struct {
		probe    uint64
		address  string
		indirect Indirect
		timeout  timekeeper.Millis
	}
	// sendExchange sends an Exchange; its end comes back as exchangeAnswered or exchangeFailed.
	sendExchange struct {
		address  string
		exchange Exchange
		timeout  timekeeper.Millis
	}
	// answer is the reply to the received message, or the error that it gets.
	answer struct {
		pong      Pong
		exchanged Exchanged
		forward   sendPing
		failure   error
	}
	// heard tells which version is in force at another node.
	heard struct {
		member Member
		active uint64
	}
)

func (sendPing) action()     {}
func (sendIndirect) action() {}
func (sendExchange) action() {}
func (answer) action()       {}
func (heard) action()        {}
