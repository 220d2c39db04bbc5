package subscriber

import (
	"time"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/compressor"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Format is the number of the message format of Subscriber.Watch.
const Format = 1

// WatchArguments requests a version above Known, the active version of the caller. Digest is the digest of that
// version, and Wait the time to wait for a newer one, in ms.
type WatchArguments struct {
	Format int               `msgpack:"f"`
	Known  uint64            `msgpack:"k"`
	Digest uint64            `msgpack:"d"`
	Wait   timekeeper.Millis `msgpack:"w"`
	// Orders requests orders newer than those known, which end with a revision in an era of the platform.
	Orders        bool   `msgpack:"o,omitempty"`
	OrderEra      uint64 `msgpack:"e,omitempty"`
	OrderRevision uint64 `msgpack:"r,omitempty"`
}

// WatchReply contains the configuration as the operator wrote it, or nothing. Following reports whether the platform
// replied to the node recently; without a Body there was no newer version at that time.
type WatchReply struct {
	Format    int    `msgpack:"f"`
	Following bool   `msgpack:"o"`
	Packed    bool   `msgpack:"p"` // Body is compressed
	Delta     bool   `msgpack:"l"` // Body is a delta to the configuration in the request
	Digest    uint64 `msgpack:"d"` // of the uncompressed configuration
	Body      []byte `msgpack:"b"`

	// Confirmed states that the configuration of this node was the newest one Age ms ago, when this node had held the
	// request for Held ms.
	Confirmed bool              `msgpack:"c,omitempty"`
	Age       timekeeper.Millis `msgpack:"g,omitempty"`
	Held      timekeeper.Millis `msgpack:"t,omitempty"`

	HasOrders     bool          `msgpack:"h,omitempty"`
	OrderEra      uint64        `msgpack:"e,omitempty"`
	OrderRevision uint64        `msgpack:"r,omitempty"`
	Orders        []OrderObject `msgpack:"a,omitempty"`
}

// OrderObject is an order in a WatchReply.
type OrderObject struct {
	Name     string `msgpack:"n"`
	Revision uint64 `msgpack:"r"`
	Value    []byte `msgpack:"v"`
	Status   []byte `msgpack:"s"`
	Deleted  bool   `msgpack:"d,omitempty"`
}

// setOrders adds the orders to a reply.
func (r *WatchReply) setOrders(o *orders) {
	r.HasOrders = true
	r.OrderEra, r.OrderRevision = o.position()
	for _, object := range o.list() {
		r.Orders = append(r.Orders, OrderObject{
			Name: object.Name, Revision: object.Revision, Value: object.Value, Status: object.Status, Deleted: object.Deleted,
		})
	}
}

// orders returns the orders of a reply.
func (r *WatchReply) orders(kind string) []connector.Object {
	objects := make([]connector.Object, 0, min(len(r.Orders), maxOrders))
	for _, order := range r.Orders[:min(len(r.Orders), maxOrders)] {
		objects = append(objects, connector.Object{
			Kind: kind, Name: order.Name, Era: r.OrderEra, Revision: order.Revision, Value: order.Value,
			Status: order.Status, Deleted: order.Deleted,
		})
	}
	return objects
}

// decompress returns the configuration in a reply. Base is the configuration in the request, or nil.
func (r *WatchReply) decompress(base *configuration) ([]byte, error) {
	if !r.Packed {
		return r.Body, nil
	}
	var dictionary []byte
	if r.Delta && base != nil {
		dictionary = base.value
	}
	return compressor.Decompress(r.Body, dictionary, connector.MaxValueBytes)
}

// Receiver handles requests of other nodes. Register it with the messenger as "Subscriber".
type Receiver struct {
	subscriber *Subscriber
}

// Receiver returns the net/rpc receiver.
func (s *Subscriber) Receiver() any {
	return &Receiver{subscriber: s}
}

// Watch returns a newer configuration as soon as one exists. It returns early if this node loses contact with the
// platform.
func (c *Receiver) Watch(arguments *WatchArguments, reply *WatchReply) error {
	if err := messenger.CheckFormat("watch", arguments.Format, Format); err != nil {
		return err
	}
	if arguments.Wait < 0 || arguments.Wait > maxApplyTime {
		return messenger.InvalidField("watch", "wait", arguments.Wait)
	}
	s := c.subscriber
	received := s.options.Boot.Now()
	if arguments.Wait > 0 {
		s.startServing()
		s.await(arguments)
	}
	reply.Format, reply.Following = Format, s.following()
	reply.Age, reply.Confirmed = s.Age() // before the configuration is read, which then is at least as new
	reply.Held = s.options.Boot.Now() - received
	if s.hasNewerOrders(arguments) {
		reply.setOrders(s.orders)
	}
	current := s.current.Load()
	if current == nil || current.view.Version <= arguments.Known {
		return nil
	}
	reply.Digest = current.digest
	if len(current.value) < minCompressBytes {
		reply.Body = current.value
		return nil
	}
	base := s.findBase(arguments.Digest)
	compressed, err := current.compress(base)
	if err != nil {
		s.options.Logger.Error("configuration not compressed", zap.Uint64("version", current.view.Version),
			zap.Error(err))
		return err
	}
	reply.Packed, reply.Delta, reply.Body = true, base != nil, compressed
	return nil
}

// startServing records that another node waits here, and ends a wait at a relay: this node watches the platform now.
func (s *Subscriber) startServing() {
	s.lastPeerRequest.Store(int64(s.options.Clock.Now()))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.cancelRelayWait != nil {
		s.cancelRelayWait()
		s.cancelRelayWait = nil
	}
}

// hasNewerOrders reports whether this node has newer orders than those in a request.
func (s *Subscriber) hasNewerOrders(arguments *WatchArguments) bool {
	return arguments.Orders && s.orders != nil && s.orders.newer(arguments.OrderEra, arguments.OrderRevision)
}

// await returns when this node has something newer than a request states, when it loses contact with the platform, or
// after the wait. If the last reply of the platform was too old already at the start, its age does not end the wait,
// because this node may have begun to watch the platform only for this request.
func (s *Subscriber) await(arguments *WatchArguments) {
	end := s.options.Clock.Now() + arguments.Wait
	for {
		changed := s.nextChange()
		now := s.options.Clock.Now()
		if s.Version() > arguments.Known || s.hasNewerOrders(arguments) || now >= end || s.platformFailed.Load() {
			return
		}
		until := end
		if limit := s.followingUntil(); limit > now {
			until = min(end, limit+1) // following is false after limit
		}
		timer := time.NewTimer((until - now).Duration())
		select {
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		if until < end && !s.following() {
			return
		}
	}
}
