package tracker

import (
	"maps"
	"slices"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	pushFanout        = 4 // random members that receive a push
	leaveFanoutFactor = 3 // factor on pushFanout when the node leaves
	// pushInterval and maxPushEntries limit the pushes of one node to 4 x 4 x 16 entries a second, about 30 KB/s, when
	// many members change at once. Entries beyond maxPushQueue are left to anti-entropy.
	pushInterval   = 250 * timekeeper.Millis(1)
	maxPushEntries = 16
	maxPushQueue   = 512
	// maxExchanges limits the data centres that are compared after one ping, except while the node joins.
	maxExchanges = 3
)

// queuePush queues a changed entry for the next push.
func (m *machine) queuePush(name string) {
	if m.queued[name] || len(m.pushQueue) >= maxPushQueue {
		return
	}
	m.queued[name] = true
	m.pushQueue = append(m.pushQueue, name)
}

// push sends queued entries to random members of the node's data centre. A relay or a leaving node also sends those of
// its own data centre to a relay of each other data centre.
func (m *machine) push(now timekeeper.Millis) {
	if len(m.pushQueue) == 0 || now < m.pushAt {
		return
	}
	m.pushAt = now + pushInterval
	count := min(maxPushEntries, len(m.pushQueue))
	var updates, zoneUpdates []Update
	ownChanged := false
	for _, name := range m.pushQueue[:count] {
		delete(m.queued, name)
		r := m.table.find(name)
		if r == nil {
			continue
		}
		u := newUpdate(now, r)
		updates = append(updates, u)
		if u.Member.Zone == m.self.Zone {
			zoneUpdates = append(zoneUpdates, u)
		}
		ownChanged = ownChanged || name == m.self.Name
	}
	m.pushQueue = slices.Clone(m.pushQueue[count:])
	for _, address := range m.pushTargets(ownChanged) {
		m.sendUpdates(address, updates)
	}
	if !m.isRelay() && m.self.Health != HealthLeft {
		return
	}
	for _, address := range m.remoteRelays() {
		m.sendUpdates(address, zoneUpdates)
	}
}

func (m *machine) sendUpdates(address string, updates []Update) {
	if len(updates) > 0 {
		m.emit(sendExchange{
			address: address, exchange: Exchange{Format: Format, Updates: updates}, timeout: exchangeTimeout,
		})
	}
}

// pushTargets returns the addresses for a push within the data centre. A change of the node's own entry is also pushed
// to the relays, so that it reaches the other data centres without a further hop.
func (m *machine) pushTargets(ownChanged bool) []string {
	names := m.neighbours("")
	count := pushFanout
	if m.self.Health == HealthLeft {
		count *= leaveFanoutFactor
	}
	addresses := make(map[string]struct{})
	for _, name := range names[:min(count, len(names))] {
		addresses[m.table.find(name).member.Peer] = struct{}{}
	}
	if ownChanged {
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

// receivePing replies to a ping. It merges the sender's entry first, so that the reply refers to its latest state.
func (m *machine) receivePing(now timekeeper.Millis, p *Ping) {
	if err := p.check(now); err != nil {
		m.emit(response{failure: err})
		return
	}
	m.refute(now, p.About)
	m.merge(now, Update{Member: p.From})
	pong := Pong{Format: Format, From: m.self, Active: m.active}
	if r := m.table.find(p.From.Name); r != nil {
		pong.About = stampOf(&r.member)
	}
	pong.Digests = m.differingDigests(p.Digests)
	m.emit(response{pong: pong})
	m.emit(reportVersion{member: p.From, active: p.Active})
}

// differingDigests returns the local digests that are missing from or differ from the remote ones, and a zero digest
// for each data centre that is unknown to this node.
func (m *machine) differingDigests(remote []Digest) []Digest {
	if len(remote) == 0 {
		return nil
	}
	remoteHashes := make(map[string]uint64, len(remote))
	for _, d := range remote {
		remoteHashes[d.Zone] = d.Hash
	}
	var digests []Digest
	for _, d := range m.digests() {
		if hash, ok := remoteHashes[d.Zone]; !ok || hash != d.Hash {
			digests = append(digests, d)
		}
		delete(remoteHashes, d.Zone)
	}
	for _, zone := range slices.Sorted(maps.Keys(remoteHashes)) {
		if remoteHashes[zone] != 0 && len(digests) < maxZones {
			digests = append(digests, Digest{Zone: zone})
		}
	}
	return digests
}

// receivePong processes the reply to a ping and starts an exchange for each data centre whose digests differ.
func (m *machine) receivePong(now timekeeper.Millis, p *probe, pong *Pong) {
	joining := !m.joined
	m.joined = m.joined || pong.From.Name != m.self.Name
	m.refute(now, pong.About)
	m.merge(now, Update{Member: pong.From})
	m.emit(reportVersion{member: pong.From, active: pong.Active})
	if m.disabled.exchange || p.indirect {
		return
	}
	started := 0
	for _, d := range pong.Digests {
		startedAt, inProgress := m.exchanging[d.Zone]
		if inProgress && now-startedAt < 2*exchangeTimeout || started >= maxExchanges && !joining {
			continue
		}
		started++
		m.exchanging[d.Zone] = now
		m.emit(sendExchange{
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
		if !r.excluded && len(stamps) < maxEntries {
			stamps = append(stamps, stampOf(&r.member))
		}
	}
	return stamps
}

// receiveExchange merges the received entries and replies to the stamps with the differences.
func (m *machine) receiveExchange(now timekeeper.Millis, e *Exchange) {
	if err := e.check(now); err != nil {
		m.emit(response{failure: err})
		return
	}
	for _, u := range e.Updates {
		m.merge(now, u)
	}
	reply := ExchangeReply{Format: Format}
	if e.Zone != "" {
		reply.Updates, reply.Wanted = m.compare(now, e.Zone, e.Stamps)
	}
	m.emit(response{exchanged: reply})
}

// compare returns the entries that are newer at this node than their stamps, and the hashes of the names whose entries
// are newer at the sender.
func (m *machine) compare(now timekeeper.Millis, zone string, stamps []Stamp) ([]Update, []uint64) {
	remote := make(map[uint64]Stamp, len(stamps))
	for _, s := range stamps {
		remote[s.Hash] = s
	}
	var updates []Update
	var wanted []uint64
	if s := m.table.shards[zone]; s != nil {
		for _, r := range s.records {
			local := stampOf(&r.member)
			other, ok := remote[local.Hash]
			delete(remote, local.Hash)
			switch {
			case r.excluded || len(updates) >= maxEntries:
			case !ok || local.newer(other):
				updates = append(updates, newUpdate(now, r))
			case other.newer(local):
				wanted = append(wanted, local.Hash)
			}
		}
	}
	for hash := range remote {
		wanted = append(wanted, hash)
	}
	return updates, wanted
}

// completeExchange merges the entries of the reply and sends the entries that the other node requested.
func (m *machine) completeExchange(now timekeeper.Millis, e exchangeCompleted) {
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
		if _, ok := wanted[hashName(r.member.Name)]; ok && !r.excluded {
			updates = append(updates, newUpdate(now, r))
		}
	}
	m.sendUpdates(e.address, updates)
}

// receiveIndirectPing returns a ping to forward to a known member. Other targets are refused, so that a peer cannot use
// this node to reach arbitrary addresses.
func (m *machine) receiveIndirectPing(i *IndirectPing) {
	if err := messenger.CheckFormat("indirect", i.Format, Format); err != nil {
		m.emit(response{failure: err})
		return
	}
	r := m.table.find(i.Target)
	if r == nil {
		m.emit(response{failure: classifier.New(classifier.CodePeerInvalid, "indirect", "target is not a member")})
		return
	}
	m.emit(response{forward: sendPing{address: r.member.Peer, ping: m.ping(i.Target), timeout: pingTimeout}})
}
