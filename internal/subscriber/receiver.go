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

// WatchArguments asks for a version above Known, which has the given digest, and for how many ms to wait for one.
type WatchArguments struct {
	Format int               `msgpack:"f"`
	Known  uint64            `msgpack:"k"`
	Digest uint64            `msgpack:"d"`
	Wait   timekeeper.Millis `msgpack:"w"`
}

// WatchReply has the configuration as the operator wrote it, or nothing. Following says that the node is in
// touch with the platform, so that there was no newer version a moment ago.
type WatchReply struct {
	Format    int    `msgpack:"f"`
	Following bool   `msgpack:"o"`
	Packed    bool   `msgpack:"p"` // Body is compressed
	Delta     bool   `msgpack:"l"` // the configuration of the question is the dictionary
	Digest    uint64 `msgpack:"d"` // of the configuration
	Body      []byte `msgpack:"b"`
}

// unpack returns the configuration of a reply. Own is the one that the question named, or nil.
func (r *WatchReply) unpack(own *held) ([]byte, error) {
	if !r.Packed {
		return r.Body, nil
	}
	var dictionary []byte
	if r.Delta && own != nil {
		dictionary = own.value
	}
	return compressor.Decompress(r.Body, dictionary, connector.MaxValueBytes)
}

// Receiver serves other nodes. Register it with the messenger as "Subscriber".
type Receiver struct {
	subscriber *Subscriber
}

// Receiver returns the net/rpc receiver.
func (s *Subscriber) Receiver() any {
	return &Receiver{subscriber: s}
}

// Watch returns a newer configuration as soon as there is one. It returns early when this node loses the platform.
func (c *Receiver) Watch(arguments *WatchArguments, reply *WatchReply) error {
	if err := messenger.CheckFormat("watch", arguments.Format, Format); err != nil {
		return err
	}
	if arguments.Wait < 0 || arguments.Wait > longestApply {
		return messenger.Invalid("watch", "wait", arguments.Wait)
	}
	s := c.subscriber
	if arguments.Wait > 0 {
		s.serve()
		s.await(arguments.Known, arguments.Wait)
	}
	reply.Format, reply.Following = Format, s.following()
	found := s.current.Load()
	if found == nil || found.view.Version <= arguments.Known {
		return nil
	}
	reply.Digest = found.digest
	if len(found.value) < packedBytes {
		reply.Body = found.value
		return nil
	}
	base := s.base(arguments.Digest)
	packed, err := found.pack(base)
	if err != nil {
		s.options.Logger.Error("configuration not compressed", zap.Uint64("version", found.view.Version), zap.Error(err))
		return err
	}
	reply.Packed, reply.Delta, reply.Body = true, base != nil, packed
	return nil
}

// serve notes that another node waits here: from now on this one watches the platform itself.
func (s *Subscriber) serve() {
	s.asked.Store(int64(s.options.Clock.Now()))
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.interrupt != nil {
		s.interrupt()
		s.interrupt = nil
	}
}

// await returns when there is a version above known, when this node is cut off from the platform, or after wait.
func (s *Subscriber) await(known uint64, wait timekeeper.Millis) {
	end := s.options.Clock.Now() + wait
	for {
		changed := s.change()
		now := s.options.Clock.Now()
		if s.Version() > known || now >= end || s.lost.Load() {
			return
		}
		until := end
		if limit := s.followingUntil(); limit > now {
			until = min(end, limit+1)
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
