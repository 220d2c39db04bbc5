package tracker

import (
	"slices"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// purpose determines how the result of a probe is handled.
type purpose uint8

const (
	purposeMember  purpose = iota // failure detection of a member
	purposeZone                   // exchange with another data centre
	purposeAddress                // joining, or retrying a dead member or unknown address; a failure is ignored
)

// probe is a ping in flight, together with the indirect pings that follow it.
type probe struct {
	purpose     purpose
	name        string
	zone        string
	address     string
	stamp       Stamp // state of the target's entry when the probe began
	outstanding int   // pings in flight
	indirect    bool  // the direct ping failed and indirect pings were sent
}

// ping returns a Ping for the member with the given name. The name is empty if only the address is known.
func (m *machine) ping(target string) Ping {
	p := Ping{Format: Format, From: m.self, Target: target, Digests: m.digests(), Active: m.active}
	if r := m.table.find(target); r != nil {
		p.About = stampOf(&r.member)
	}
	return p
}

func (m *machine) startProbe(p probe, timeout timekeeper.Millis) {
	m.nextProbe++
	p.outstanding = 1
	m.probes[m.nextProbe] = &p
	m.emit(sendPing{probe: m.nextProbe, address: p.address, ping: m.ping(p.name), timeout: timeout})
}

// probeNext pings the next member of the node's data centre.
func (m *machine) probeNext(timekeeper.Millis) {
	for range 2 {
		for len(m.probeOrder) > 0 {
			name := m.probeOrder[0]
			m.probeOrder = m.probeOrder[1:]
			r := m.table.find(name)
			if r == nil || r.member.Health > HealthSuspect || r.member.Zone != m.self.Zone {
				continue
			}
			m.startProbe(probe{
				purpose: purposeMember, name: name, address: r.member.Peer, stamp: stampOf(&r.member),
			}, pingTimeout)
			return
		}
		m.probeOrder = m.neighbours("")
	}
}

// neighbours returns the names of the other live members of the node's data centre, in random order,
// excluding except.
func (m *machine) neighbours(except string) []string {
	var names []string
	for name, r := range m.table.shards[m.self.Zone].records {
		if name != m.self.Name && name != except && r.member.Health <= HealthSuspect {
			names = append(names, name)
		}
	}
	slices.Sort(names) // map order would make runs with the same seed differ
	m.random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names
}

// probeZone makes a relay ping a relay of a random other data centre. If the last ping failed, it pings any member, and
// first those that are not suspect, so that each of them is pinged.
func (m *machine) probeZone(timekeeper.Millis) {
	if !m.isRelay() {
		clear(m.unreachableZones)
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
	if _, unreachable := m.unreachableZones[zone]; unreachable || len(candidates) == 0 {
		candidates = m.table.shards[zone].view.preferAlive()
	}
	if len(candidates) == 0 {
		return
	}
	target := candidates[m.random.IntN(len(candidates))]
	m.startProbe(probe{
		purpose: purposeZone, name: target.Name, zone: zone, address: target.Peer, stamp: stampOf(&target),
	}, 2*pingTimeout)
}

// retryUnreachable pings one dead member, or one seed address that belongs to no live member, so that the sides of a
// network partition reconnect afterwards without the platform.
func (m *machine) retryUnreachable(timekeeper.Millis) {
	if m.disabled.retry {
		return
	}
	hasLiveMember := make(map[string]bool, len(m.seeds))
	for _, address := range m.seeds {
		hasLiveMember[address] = false
	}
	var names []string
	for name := range m.table.dead {
		names = append(names, name)
	}
	for _, s := range m.table.shards {
		for _, r := range s.records {
			if _, seed := hasLiveMember[r.member.Peer]; seed && r.member.Health <= HealthSuspect {
				hasLiveMember[r.member.Peer] = true
			}
		}
	}
	hasLiveMember[m.self.Peer] = true
	var addresses []string
	for _, address := range m.seeds {
		if !hasLiveMember[address] {
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
		m.startProbe(probe{purpose: purposeAddress, name: names[i], address: r.member.Peer}, pingTimeout)
	} else {
		m.startProbe(probe{purpose: purposeAddress, address: addresses[i-len(names)]}, pingTimeout)
	}
}

// endProbe processes the result of a ping; pong is nil if the ping failed.
func (m *machine) endProbe(now timekeeper.Millis, id uint64, pong *Pong) {
	p := m.probes[id]
	if p == nil {
		return // already completed, or started before this process was paused
	}
	if pong != nil && pong.check(now) == nil {
		m.receivePong(now, p, pong)
		if p.name == "" || pong.From.Name == p.name {
			delete(m.probes, id)
			if p.purpose == purposeZone {
				delete(m.unreachableZones, p.zone)
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
		m.handleFailedPing(now, p)
	case purposeZone:
		m.handleFailedZonePing(now, p)
	case purposeAddress:
	}
}

// handleFailedPing sends indirect pings after a failed direct ping. If these fail too, it marks the member as suspect.
func (m *machine) handleFailedPing(now timekeeper.Millis, p *probe) {
	if !p.indirect {
		var intermediaries []string
		for _, name := range m.neighbours(p.name) {
			if m.table.find(name).member.Health == HealthAlive && len(intermediaries) < indirectCount {
				intermediaries = append(intermediaries, name)
			}
		}
		if len(intermediaries) > 0 {
			p.indirect, p.outstanding = true, len(intermediaries)
			m.nextProbe++
			m.probes[m.nextProbe] = p
			for _, name := range intermediaries {
				m.emit(sendIndirectPing{
					probe: m.nextProbe, address: m.table.find(name).member.Peer,
					request: IndirectPing{Format: Format, Target: p.name}, timeout: indirectTimeout,
				})
			}
			return
		}
	}
	m.suspect(now, p)
}

// handleFailedZonePing suspects the pinged member of another data centre once zoneSuspicionTimeout has passed without a
// successful ping of that data centre.
func (m *machine) handleFailedZonePing(now timekeeper.Millis, p *probe) {
	since, unreachable := m.unreachableZones[p.zone]
	switch {
	case !unreachable:
		m.unreachableZones[p.zone] = now
	case now-since >= zoneSuspicionTimeout && !m.disabled.zones:
		m.suspect(now, p)
	}
}

// suspect marks the target of a failed probe as suspect.
func (m *machine) suspect(now timekeeper.Millis, p *probe) {
	r := m.table.find(p.name)
	if r == nil || r.member.Health != HealthAlive || stampOf(&r.member) != p.stamp {
		return // no longer alive, or its entry was updated after the probe began
	}
	suspect := r.member
	suspect.Health = HealthSuspect
	m.table.set(suspect, now)
	m.queuePush(p.name)
}
