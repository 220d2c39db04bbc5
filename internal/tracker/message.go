package tracker

import (
	"github.com/cespare/xxhash/v2"

	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Format is the version of the message format that this package writes and reads.
const Format = 1

// MaxSlots bounds the slots of a member.
const MaxSlots = 1 << 20

// FullWeight is the weight of a member that gets as many requests as others.
const FullWeight = 1000

// Limits on the fields of a message.
const (
	maxName     = 128
	maxEntries  = 4096 // with all their fields within the decoder's limit on items in a message
	maxZones    = 64
	maxSequence = 1 << 62
	// maxAhead limits how far an incarnation may lie in the future, in ms. Without the limit, a member might not
	// be able to exceed an incarnation stored for its name, and the name would be unusable permanently.
	maxAhead = 24 * 60 * timekeeper.Minute
)

// Stamp holds the fields of an entry that Member.Newer compares. Hash is the xxhash of the name.
type Stamp struct {
	Hash        uint64 `msgpack:"h"`
	Incarnation uint64 `msgpack:"i"`
	Sequence    uint64 `msgpack:"q"`
	Health      Health `msgpack:"s"`
}

// Update is an entry sent between nodes. Age is the time in ms since the member failed or left.
type Update struct {
	Member Member            `msgpack:"m"`
	Age    timekeeper.Millis `msgpack:"a,omitempty"`
}

// Digest is the XOR of the entry hashes of one data centre.
type Digest struct {
	Zone string `msgpack:"z"`
	Hash uint64 `msgpack:"h"`
}

// Ping is a liveness check. About is the stamp of the sender's entry for the target, so that the target can refute it.
type Ping struct {
	Format  int      `msgpack:"f"`
	From    Member   `msgpack:"m"`
	Target  string   `msgpack:"t,omitempty"`
	About   Stamp    `msgpack:"a"`
	Digests []Digest `msgpack:"d,omitempty"`
	Active  uint64   `msgpack:"v"` // configuration version active at the sender
}

// Pong is the reply to a Ping. About is the stamp of the replying node's entry for the sender of the Ping; Digests are
// those that differ from the Ping's.
type Pong struct {
	Format  int      `msgpack:"f"`
	From    Member   `msgpack:"m"`
	About   Stamp    `msgpack:"a"`
	Digests []Digest `msgpack:"d,omitempty"`
	Active  uint64   `msgpack:"v"`
}

// IndirectPing asks a node to ping another member on behalf of the sender.
type IndirectPing struct {
	Format int    `msgpack:"f"`
	Target string `msgpack:"t"`
}

// Exchange compares the entries of one data centre by their stamps, or delivers entries, or both.
type Exchange struct {
	Format  int      `msgpack:"f"`
	Zone    string   `msgpack:"z,omitempty"` // data centre of Stamps; empty if there are none
	Stamps  []Stamp  `msgpack:"s,omitempty"`
	Updates []Update `msgpack:"u,omitempty"`
}

// ExchangeReply is the reply to an Exchange: the entries that are newer at the replying node, and the hashes of the
// names whose entries are newer at the sender of the Exchange.
type ExchangeReply struct {
	Format  int      `msgpack:"f"`
	Updates []Update `msgpack:"u,omitempty"`
	Wanted  []uint64 `msgpack:"w,omitempty"`
}

func hashName(name string) uint64 {
	return xxhash.Sum64String(name)
}

func stampOf(m *Member) Stamp {
	return Stamp{Hash: hashName(m.Name), Incarnation: m.Incarnation, Sequence: m.Sequence, Health: m.Health}
}

// newer reports whether s supersedes other, a stamp of the same entry.
func (s Stamp) newer(other Stamp) bool {
	a := Member{Incarnation: s.Incarnation, Sequence: s.Sequence, Health: s.Health}
	b := Member{Incarnation: other.Incarnation, Sequence: other.Sequence, Health: other.Health}
	return a.Newer(&b)
}

// checkUpstream checks what the member announces of its upstream.
func (m *Member) checkUpstream() error {
	switch {
	case m.Slots < 0 || m.Slots > MaxSlots:
		return messenger.InvalidField("member", "slots", m.Slots)
	case len(m.Version) > maxName:
		return messenger.InvalidField("member", "version", len(m.Version))
	case m.Weight < 0 || m.Weight > FullWeight:
		return messenger.InvalidField("member", "weight", m.Weight)
	}
	return nil
}

func (m *Member) check(now timekeeper.Millis) error {
	if err := m.checkUpstream(); err != nil {
		return err
	}
	switch {
	case m.Name == "" || len(m.Name) > maxName:
		return messenger.InvalidField("member", "name", len(m.Name))
	case m.Zone == "" || len(m.Zone) > maxName:
		return messenger.InvalidField("member", "zone", len(m.Zone))
	case len(m.Service) > maxName:
		return messenger.InvalidField("member", "service", len(m.Service))
	case len(m.Peer) > maxName || len(m.Caller) > maxName:
		return messenger.InvalidField("member", "address", max(len(m.Peer), len(m.Caller)))
	case m.Incarnation > uint64(now+maxAhead):
		return messenger.InvalidField("member", "incarnation", m.Incarnation)
	case m.Sequence > maxSequence:
		return messenger.InvalidField("member", "sequence", m.Sequence)
	case m.State > StateDraining:
		return messenger.InvalidField("member", "state", m.State)
	case m.Health > HealthLeft:
		return messenger.InvalidField("member", "health", m.Health)
	}
	return nil
}

func (s Stamp) check(now timekeeper.Millis) error {
	if s.Health > HealthLeft || s.Sequence > maxSequence || s.Incarnation > uint64(now+maxAhead) {
		return messenger.InvalidField("stamp", "order", s)
	}
	return nil
}

func checkDigests(digests []Digest) error {
	if len(digests) > maxZones {
		return messenger.InvalidField("message", "digests", len(digests))
	}
	for _, d := range digests {
		if d.Zone == "" || len(d.Zone) > maxName {
			return messenger.InvalidField("digest", "zone", len(d.Zone))
		}
	}
	return nil
}

func checkUpdates(now timekeeper.Millis, updates []Update) error {
	if len(updates) > maxEntries {
		return messenger.InvalidField("message", "updates", len(updates))
	}
	for i := range updates {
		if err := updates[i].Member.check(now); err != nil {
			return err
		}
		if updates[i].Age < 0 {
			return messenger.InvalidField("update", "age", updates[i].Age)
		}
	}
	return nil
}

func (p *Ping) check(now timekeeper.Millis) error {
	if err := messenger.CheckFormat("ping", p.Format, Format); err != nil {
		return err
	}
	return checkProbe(now, &p.From, p.About, p.Digests)
}

func (p *Pong) check(now timekeeper.Millis) error {
	if err := messenger.CheckFormat("pong", p.Format, Format); err != nil {
		return err
	}
	return checkProbe(now, &p.From, p.About, p.Digests)
}

func checkProbe(now timekeeper.Millis, from *Member, about Stamp, digests []Digest) error {
	if err := from.check(now); err != nil {
		return err
	}
	if err := about.check(now); err != nil {
		return err
	}
	return checkDigests(digests)
}

func (e *Exchange) check(now timekeeper.Millis) error {
	if err := messenger.CheckFormat("exchange", e.Format, Format); err != nil {
		return err
	}
	if len(e.Zone) > maxName || len(e.Stamps) > maxEntries {
		return messenger.InvalidField("exchange", "stamps", len(e.Stamps))
	}
	for _, s := range e.Stamps {
		if err := s.check(now); err != nil {
			return err
		}
	}
	return checkUpdates(now, e.Updates)
}

func (e *ExchangeReply) check(now timekeeper.Millis) error {
	if err := messenger.CheckFormat("exchanged", e.Format, Format); err != nil {
		return err
	}
	if len(e.Wanted) > maxEntries {
		return messenger.InvalidField("exchanged", "wanted", len(e.Wanted))
	}
	return checkUpdates(now, e.Updates)
}
