package tracker

import (
	"maps"
	"slices"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	pushFanout = 4
	leaveCount = 3 // how many times the fan-out a leaving node reaches
	// pushSpan and pushEntries bound the pushes of one node to 4 x 4 x 16 entries a second, about 30 KB/s, when many
	// members change at once. What they leave out travels by anti-entropy.
	pushSpan    = 250 * timekeeper.Millis(1)
	pushEntries = 16
	maxQueued   = 512
	// maxExchanges bounds the data centres that one ping leads to compare, except while a node joins.
	maxExchanges = 3
)

// announce queues an entry that changed for the next push.
func (m *machine) announce(name string) {
	if m.queued[name] || len(m.news) >= maxQueued {
		return
	}
	m.queued[name] = true
	m.news = append(m.news, name)
}

// push sends queued entries to random members and, from a relay, those of the own data centre to the other ones.
func (m *machine) push(now timekeeper.Millis) {
	if len(m.news) == 0 || now < m.pushAt {
		return
	}
	m.pushAt = now + pushSpan
	count := min(pushEntries, len(m.news))
	var updates, own []Update
	self := false
	for _, name := range m.news[:count] {
		delete(m.queued, name)
		r := m.table.find(name)
		if r == nil {
			continue
		}
		u := updateOf(now, r)
		updates = append(updates, u)
		if u.Member.Zone == m.self.Zone {
			own = append(own, u)
		}
		self = self || name == m.self.Name
	}
	m.news = slices.Clone(m.news[count:])
	for _, address := range m.targets(self) {
		m.deliver(address, updates)
	}
	if !m.isRelay() && m.self.Health != HealthLeft {
		return
	}
	for _, address := range m.remoteRelays() {
		m.deliver(address, own)
	}
}

func (m *machine) deliver(address string, updates []Update) {
	if len(updates) > 0 {
		m.do(sendExchange{
			address: address, exchange: Exchange{Format: Format, Updates: updates}, timeout: exchangeTimeout,
		})
	}
}

// targets returns the addresses for a push inside the data centre. A change of the own entry goes to the relays too,
// so that it reaches the other data centres without a further hop.
func (m *machine) targets(self bool) []string {
	names := m.neighbours("")
	count := pushFanout
	if m.self.Health == HealthLeft {
		count *= leaveCount
	}
	addresses := make(map[string]struct{})
	for _, name := range names[:min(count, len(names))] {
		addresses[m.table.find(name).member.Peer] = struct{}{}
	}
	if self {
		for _, relay := range m.table.shards[m.self.Zone].view.relays {
			if relay.Name != m.self.Name {
				addresses[relay.Peer] = struct{}{}
			}
		}
	}
	return slices.Sorted(maps.Keys(addresses))
}

// remoteRelays returns the address of one random relay of each other data centre.
func (m *machine) remoteRelays() []string {
	var addresses []string
	for _, zone := range slices.Sorted(maps.Keys(m.table.shards)) {
		if relays := m.table.shards[zone].view.relays; zone != m.self.Zone && len(relays) > 0 {
			addresses = append(addresses, relays[m.random.IntN(len(relays))].Peer)
		}
	}
	return addresses
}

func (m *machine) isRelay() bool {
	return slices.ContainsFunc(m.table.shards[m.self.Zone].view.relays, func(r Member) bool {
		return r.Name == m.self.Name
	})
}

func (m *machine) digests() []Digest {
	digests := make([]Digest, 0, len(m.table.shards))
	for _, zone := range slices.Sorted(maps.Keys(m.table.shards)) {
		if len(digests) < maxZones {
			digests = append(digests, Digest{Zone: zone, Hash: m.table.shards[zone].digest})
		}
	}
	return digests
}

// receivePing answers a ping. The entry of the sender is merged first, so that the answer is about its latest state.
func (m *machine) receivePing(now timekeeper.Millis, p *Ping) {
	if err := p.check(now); err != nil {
		m.do(answer{failure: err})
		return
	}
	m.refute(now, p.About)
	m.merge(now, Update{Member: p.From})
	pong := Pong{Format: Format, From: m.self, Active: m.active}
	if r := m.table.find(p.From.Name); r != nil {
		pong.About = stampOf(&r.member)
	}
	pong.Digests = m.differing(p.Digests)
	m.do(answer{pong: pong})
	m.do(heard{member: p.From, active: p.Active})
}

// differing returns the own digests that are not among theirs, and an empty one for each data centre not known here.
func (m *machine) differing(theirs []Digest) []Digest {
	if len(theirs) == 0 {
		return nil
	}
	found := make(map[string]uint64, len(theirs))
	for _, d := range theirs {
		found[d.Zone] = d.Hash
	}
	var digests []Digest
	for _, d := range m.digests() {
		if hash, ok := found[d.Zone]; !ok || hash != d.Hash {
			digests = append(digests, d)
		}
		delete(found, d.Zone)
	}
	for _, zone := range slices.Sorted(maps.Keys(found)) {
		if found[zone] != 0 && len(digests) < maxZones {
			digests = append(digests, Digest{Zone: zone})
		}
	}
	return digests
}

// receivePong takes the answer to a ping and compares the data centres whose digests differ.
func (m *machine) receivePong(now timekeeper.Millis, p *probe, pong *Pong) {
	fresh := !m.joined
	m.joined = m.joined || pong.From.Name != m.self.Name
	m.refute(now, pong.About)
	m.merge(now, Update{Member: pong.From})
	m.do(heard{member: pong.From, active: pong.Active})
	if m.off.exchange || p.indirect {
		return
	}
	started := 0
	for _, d := range pong.Digests {
		begun, busy := m.exchanging[d.Zone]
		if busy && now-begun < 2*exchangeTimeout || started >= maxExchanges && !fresh {
			continue
		}
		started++
		m.exchanging[d.Zone] = now
		m.do(sendExchange{
			address: p.address, exchange: Exchange{Format: Format, Zone: d.Zone, Stamps: m.stamps(d.Zone)},
			timeout: exchangeTimeout,
		})
	}
}

func (m *machine) stamps(zone string) []Stamp {
	s := m.table.shards[zone]
	if s == nil {
		return nil
	}
	stamps := make([]Stamp, 0, len(s.records))
	for _, r := range s.records {
		if !r.faded && len(stamps) < maxEntries {
			stamps = append(stamps, stampOf(&r.member))
		}
	}
	return stamps
}

// receiveExchange merges the delivered entries and answers the stamps with what differs.
func (m *machine) receiveExchange(now timekeeper.Millis, e *Exchange) {
	if err := e.check(now); err != nil {
		m.do(answer{failure: err})
		return
	}
	for _, u := range e.Updates {
		m.merge(now, u)
	}
	reply := Exchanged{Format: Format}
	if e.Zone != "" {
		reply.Updates, reply.Wanted = m.compare(now, e.Zone, e.Stamps)
	}
	m.do(answer{exchanged: reply})
}

func (m *machine) compare(now timekeeper.Millis, zone string, stamps []Stamp) ([]Update, []uint64) {
	theirs := make(map[uint64]Stamp, len(stamps))
	for _, s := range stamps {
		theirs[s.Hash] = s
	}
	var updates []Update
	var wanted []uint64
	if s := m.table.shards[zone]; s != nil {
		for _, r := range s.records {
			mine := stampOf(&r.member)
			their, ok := theirs[mine.Hash]
			delete(theirs, mine.Hash)
			switch {
			case r.faded || len(updates) >= maxEntries:
			case !ok || mine.newer(their):
				updates = append(updates, updateOf(now, r))
			case their.newer(mine):
				wanted = append(wanted, mine.Hash)
			}
		}
	}
	for hash := range theirs {
		wanted = append(wanted, hash)
	}
	return updates, wanted
}

// endExchange merges the entries of the reply and delivers those that the other node wants.
func (m *machine) endExchange(now timekeeper.Millis, e exchangeAnswered) {
	delete(m.exchanging, e.zone)
	if e.reply.check(now) != nil {
		return
	}
	for _, u := range e.reply.Updates {
		m.merge(now, u)
	}
	s := m.table.shards[e.zone]
	if len(e.reply.Wanted) == 0 || s == nil {
		return
	}
	wanted := make(map[uint64]struct{}, len(e.reply.Wanted))
	for _, hash := range e.reply.Wanted {
		wanted[hash] = struct{}{}
	}
	var updates []Update
	for _, r := range s.records {
		if _, ok := wanted[hashName(r.member.Name)]; ok && !r.faded {
			updates = append(updates, updateOf(now, r))
		}
	}
	m.deliver(e.address, updates)
}

// receiveIndirect lets the caller ping a member that this node knows. Other addresses are refused, so that a peer
// cannot use this node to reach arbitrary ones.
func (m *machine) receiveIndirect(i *Indirect) {
	if err := messenger.CheckFormat("indirect", i.Format, Format); err != nil {
		m.do(answer{failure: err})
		return
	}
	r := m.table.find(i.Target)
	if r == nil {
		m.do(answer{failure: classifier.New(classifier.CodePeerInvalid, "indirect", "target is not a member")})
		return
	}
	m.do(answer{forward: sendPing{address: r.member.Peer, ping: m.ping(i.Target), timeout: pingTimeout}})
}
