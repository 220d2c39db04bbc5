package tracker

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// Event is an input of the state machine.
type Event interface{ event() }

// Action is an output of the state machine.
type Action interface{ action() }

type (
	// tick drives the timers; it occurs every tickInterval.
	tick struct{}
	// pingReceived is a Ping from another node; its actions include a response.
	pingReceived struct{ ping Ping }
	// exchangeReceived is an Exchange from another node; its actions include a response.
	exchangeReceived struct{ exchange Exchange }
	// indirectPingReceived is an IndirectPing from another node; its actions include a response with a ping to forward.
	indirectPingReceived struct{ request IndirectPing }
	// pongReceived completes a sendPing or sendIndirectPing.
	pongReceived struct {
		probe uint64
		pong  Pong
	}
	// pingFailed completes a sendPing or sendIndirectPing that returned no Pong.
	pingFailed struct{ probe uint64 }
	// exchangeCompleted carries the reply to a sendExchange with stamps.
	exchangeCompleted struct {
		zone, address string
		reply         ExchangeReply
	}
	// exchangeFailed completes a sendExchange with stamps that returned no reply.
	exchangeFailed struct{ zone string }
	// selfChanged changes the node's own entry.
	selfChanged struct{ change func(*Member) }
	// versionsObserved raises Known of members; the map is keyed by member name.
	versionsObserved struct{ known map[string]uint64 }
	// joinRequested adds addresses of nodes through which to join the mesh.
	joinRequested struct{ addresses []string }
	// leaveRequested marks the node's own entry as left.
	leaveRequested struct{}
)

func (tick) event()                 {}
func (pingReceived) event()         {}
func (exchangeReceived) event()     {}
func (indirectPingReceived) event() {}
func (pongReceived) event()         {}
func (pingFailed) event()           {}
func (exchangeCompleted) event()    {}
func (exchangeFailed) event()       {}
func (selfChanged) event()          {}
func (versionsObserved) event()     {}
func (joinRequested) event()        {}
func (leaveRequested) event()       {}

type (
	// sendPing sends a Ping; its result is fed back as pongReceived or pingFailed.
	sendPing struct {
		probe   uint64
		address string
		ping    Ping
		timeout timekeeper.Millis
	}
	// sendIndirectPing asks another member to ping the target; its result is fed back like that of a sendPing.
	sendIndirectPing struct {
		probe   uint64
		address string
		request IndirectPing
		timeout timekeeper.Millis
	}
	// sendExchange sends an Exchange. With stamps, its result is fed back as exchangeCompleted or exchangeFailed.
	sendExchange struct {
		address  string
		exchange Exchange
		timeout  timekeeper.Millis
	}
	// response is the reply to a received message, or the error that rejects it.
	response struct {
		pong      Pong
		exchanged ExchangeReply
		forward   sendPing
		failure   error
	}
	// reportVersion reports the configuration version that is active at another node.
	reportVersion struct {
		member Member
		active uint64
	}
)

func (sendPing) action()         {}
func (sendIndirectPing) action() {}
func (sendExchange) action()     {}
func (response) action()         {}
func (reportVersion) action()    {}
