package tracker

import "context"

// Receiver implements the RPC methods of the service "Tracker", for messenger.Server.Register.
type Receiver struct {
	tracker *Tracker
}

// Ping replies to a ping. A malformed ping is rejected with a 3xx code and changes nothing.
func (r *Receiver) Ping(ping *Ping, reply *Pong) error {
	a := r.tracker.step(pingReceived{ping: *ping})
	*reply = a.pong
	return a.failure
}

// Exchange merges the received entries and replies to the stamps with the differences. A malformed message is rejected
// with a 3xx code and changes nothing.
func (r *Receiver) Exchange(exchange *Exchange, reply *ExchangeReply) error {
	a := r.tracker.step(exchangeReceived{exchange: *exchange})
	*reply = a.exchanged
	return a.failure
}

// Relay pings a member on behalf of another node and returns its reply. A malformed request or an unknown target is
// rejected with a 3xx code.
func (r *Receiver) Relay(request *IndirectPing, reply *Pong) error {
	a := r.tracker.step(indirectPingReceived{request: *request})
	if a.failure != nil {
		return a.failure
	}
	f := a.forward
	return r.tracker.options.Caller.Call(context.Background(), f.address, "Tracker.Ping", &f.ping, reply, f.timeout)
}
