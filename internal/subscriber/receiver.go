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
	if arguments.Wait > 0 {
		s.startServing()
		s.await(arguments.Known, arguments.Wait)
	}
	reply.Format, reply.Following = Format, s.following()
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

// await returns when the version is above known, when this node loses contact with the platform, or after wait. If the
// last reply of the platform was too old already at the start, its age does not end the wait, because this node may
// have begun to watch the platform only for this request.
func (s *Subscriber) await(known uint64, wait timekeeper.Millis) {
	end := s.options.Clock.Now() + wait
	for {
		changed := s.nextChange()
		now := s.options.Clock.Now()
		if s.Version() > known || now >= end || s.platformFailed.Load() {
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
