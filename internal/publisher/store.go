package publisher

import "github.com/jasmineproxy/jasmineproxy/internal/compiler"

// maxStored bounds the sections that a publisher keeps in memory to compute deltas.
const maxStored = 512

// store is what a publisher keeps from one cycle to the next: section bodies by digest, of which the oldest are
// dropped first, and decoded sources. It is not safe for concurrent use.
type store struct {
	cache  *compiler.Cache
	bodies map[string][]byte
	order  []string
}

func newStore() *store {
	return &store{cache: compiler.NewCache(), bodies: make(map[string][]byte)}
}

func (s *store) get(digest string) []byte {
	return s.bodies[digest]
}

func (s *store) put(digest string, body []byte) {
	if _, ok := s.bodies[digest]; ok {
		return
	}
	s.bodies[digest] = body
	s.order = append(s.order, digest)
	if len(s.order) > maxStored {
		delete(s.bodies, s.order[0])
		s.order = s.order[1:]
	}
}
