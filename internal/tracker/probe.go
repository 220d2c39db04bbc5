package tracker

import (
	"slices"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// purpose says what the end of a probe means.
type purpose uint8

const (
	purposeMember  purpose = iota // failure detection of a member
	purposeZone                   // exchange with another data centre
	purposeAddress                // joining, or a dead member or unknown address; its failure means nothing
)

// probe is a ping under way, with the indirect pings that follow it.
type probe struct {
	purpose     purpose
	name        string
	zone        string
	address     string
	stamp       Stamp // entry of the target when the probe began
	outstanding int
	indirect    bool
}

// ping returns a Ping for the member of the given name, or for an address alone if the name is empty.
func (m *machine) ping(target string) Ping {
	p := Ping{Format: Format, From: m.self, Target: target, Digests: m.digests(), Active: m.active}
	if r := m.table.find(target); r != nil {
		p.About = stampOf(&r.member)
	}
	return p
}

func (m *machine) send(p probe, timeout timekeeper.Millis) {
	m.nextProbe++
	p.outstanding = 1
	m.probes[m.nextProbe] = &p
	m.do(sendPing{probe: m.nextProbe, address: p.address, ping: m.ping(p.name), timeout: timeout})
}

// probeNext pings the next member of the own data centre.
func (m *machine) probeNext(timekeeper.Millis) {
	for range 2 {
		for len(m.order) > 0 {
			name := m.order[0]
			m.order = m.order[1:]
			r := m.table.find(name)
			if r == nil || r.member.Health > HealthSuspect || r.member.Zone != m.self.Zone {
				continue
			}
			m.send(probe{
				purpose: purposeMember, name: name, address: r.member.Peer, stamp: stampOf(&r.member),
			}, pingTimeout)
			return
		}
		m.order = m.neighbours("")
	}
}

// neighbours returns the names of the other live members of the own data centre, in random order.
func (m *machine) neighbours(except string) []string {
	var names []string
	for name, r := range m.table.shards[m.self.Zone].records {
		if name != m.self.Name && name != except && r.member.Health <= HealthSuspect {
			names = append(names, name)
		}
	}
	slices.Sort(names) // the map's own order would make runs with the same seed differ
	m.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// probeZone lets a relay ping one relay of a random other data centre, or any member of it if the last ping failed.
func (m *machine) probeZone(timekeeper.Millis) {
	if !m.isRelay() {
		return
	}
	var zones []string
	for zone, s := range m.table.shards {
		if zone != m.self.Zone && len(s.records) > 0 {
			zones = append(zones, zone)
		}
	}
	if len(zones) == 0 {
		return
	}
	slices.Sort(zones)
	zone := zones[m.random.IntN(len(zones))]
	candidates := m.table.shards[zone].view.relays
	if m.unreachable[zone] || len(candidates) == 0 {
		candidates = m.table.shards[zone].view.members
	}
	if len(candidates) == 0 {
		return
	}
	target := candidates[m.random.IntN(len(candidates))]
	m.send(probe{purpose: purposeZone, name: target.Name, zone: zone, address: target.Peer}, 2*pingTimeout)
}

// retry pings one dead member, or one given address that belongs to no live member, so that two parts that lost
// each other find back without the platform.
func (m *machine) retry(timekeeper.Millis) {
	if m.off.retry {
		return
	}
	live := make(map[string]bool, len(m.seeds))
	for _, address := range m.seeds {
		live[address] = false
	}
	var names []string
	for name := range m.table.dead {
		names = append(names, name)
	}
	for _, s := range m.table.shards {
		for _, r := range s.records {
			if _, seed := live[r.member.Peer]; seed && r.member.Health <= HealthSuspect {
				live[r.member.Peer] = true
			}
		}
	}
	live[m.self.Peer] = true
	var addresses []string
	for _, address := range m.seeds {
		if !live[address] {
			addresses = append(addresses, address)
		}
	}
	slices.Sort(names)
	count := len(names) + len(addresses)
	if count == 0 {
		return
	}
	if i := m.random.IntN(count); i < len(names) {
		r := m.table.find(names[i])
		m.send(probe{purpose: purposeAddress, name: names[i], address: r.member.Peer}, pingTimeout)
	} else {
		m.send(probe{purpose: purposeAddress, address: addresses[i-len(names)]}, pingTimeout)
	}
}

// endProbe takes the end of a ping; pong is nil if it failed.
func (m *machine) endProbe(now timekeeper.Millis, id uint64, pong *Pong) {
	p := m.probes[id]
	if p == nil {
		return // ended already, or began before a pause
	}
	if pong != nil && pong.check(now) == nil {
		m.receivePong(now, p, pong)
		if p.name == "" || pong.From.Name == p.name {
			delete(m.probes, id)
			if p.purpose == purposeZone {
				delete(m.unreachable, p.zone)
			}
			return
		}
	}
	p.outstanding--
	if p.outstanding > 0 {
		return
	}
	delete(m.probes, id)
	switch p.purpose {
	case purposeMember:
		m.missed(now, p)
	case purposeZone:
		m.unreachable[p.zone] = true
	case purposeAddress:
	}
}

// missed follows a failed ping with indirect ones and, when these failed too, suspects the member.
func (m *machine) missed(now timekeeper.Millis, p *probe) {
	if !p.indirect {
		var via []string
		for _, name := range m.neighbours(p.name) {
			if m.table.find(name).member.Health == HealthAlive && len(via) < indirectCount {
				via = append(via, name)
			}
		}
		if len(via) > 0 {
			p.indirect, p.outstanding = true, len(via)
			m.nextProbe++
			m.probes[m.nextProbe] = p
			for _, name := range via {
				m.do(sendIndirect{
					probe: m.nextProbe, address: m.table.find(name).member.Peer,
					indirect: Indirect{Format: Format, Target: p.name}, timeout: indirectTimeout,
				})
			}
			return
		}
	}
	r := m.table.find(p.name)
	if r == nil || r.member.Health != HealthAlive || stampOf(&r.member) != p.stamp {
		return // known to be worse, or heard of since the probe began
	}
	suspect := r.member
	suspect.Health = HealthSuspect
	m.table.set(suspect, now)
	m.announce(p.name)
}
