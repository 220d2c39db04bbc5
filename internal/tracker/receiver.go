package tracker

import "context"

// Receiver holds the methods that other nodes call, for messenger.Server.Register under the name "Tracker".
type Receiver struct {
	tracker *Tracker
}

// Ping answers a ping. A malformed one gets a 3xx code and changes nothing.
func (r *Receiver) Ping(ping *Ping, reply *Pong) error {
	a := r.tracker.step(pingReceived{ping: *ping})
	*reply = a.pong
	return a.failure
}

// Exchange merges entries and answers stamps. A malformed message gets a 3xx code and changes nothing.
func (r *Receiver) Exchange(exchange *Exchange, reply *Exchanged) error {
	a := r.tracker.step(exchangeReceived{exchange: *exchange})
	*reply = a.exchanged
	return a.failure
}

// Relay pings a member on behalf of another node and returns its answer, or a 3xx code.
func (r *Receiver) Relay(indirect *Indirect, reply *Pong) error {
	a := r.tracker.step(indirectReceived{indirect: *indirect})
	if a.failure != nil {
		return a.failure
	}
	f := a.forward
	return r.tracker.options.Caller.Call(context.Background(), f.address, "Tracker.Ping", &f.ping, reply, f.timeout)
}
