package tracker

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

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
