package tracker

import (
	"slices"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// maxSeeds bounds the seed addresses that are kept.
const maxSeeds = 256

const (
	joinFanout     = 3 // addresses tried at once
	joinBackoff    = 200 * timekeeper.Millis(1)
	joinBackoffMax = 5 * timekeeper.Second
)

// join pings some of the seed addresses until another node replies. The backoff doubles and has full jitter, so that
// nodes that start together do not send their pings together.
func (m *machine) join(now timekeeper.Millis) {
	if m.joined || now < m.joinAt {
		return
	}
	addresses := m.otherSeeds()
	if len(addresses) == 0 {
		return
	}
	m.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses[:min(joinFanout, len(addresses))] {
		m.startProbe(probe{purpose: purposeAddress, address: address}, pingTimeout)
	}
	m.backoff = min(max(2*m.backoff, joinBackoff), joinBackoffMax)
	m.joinAt = now + joinBackoff/2 + timekeeper.Millis(m.random.Int64N(int64(m.backoff)))
}

// addSeeds adds seed addresses and forgets those that were named longest ago.
func (m *machine) addSeeds(addresses []string) {
	m.seeds = slices.DeleteFunc(m.seeds, func(known string) bool { return slices.Contains(addresses, known) })
	m.seeds = append(m.seeds, addresses...)
	m.seeds = slices.Delete(m.seeds, 0, max(len(m.seeds)-maxSeeds, 0))
}

// otherSeeds returns the seed addresses except the node's own address.
func (m *machine) otherSeeds() []string {
	var addresses []string
	for _, address := range m.seeds {
		if address != m.self.Peer {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
