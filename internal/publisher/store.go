package publisher

import "github.com/jasmineproxy/jasmineproxy/internal/compiler"

// maxStoredSections limits the sections that a publisher caches to compute deltas.
const maxStoredSections = 512

// store caches section bodies and decoded sources between cycles. It evicts the oldest sections first. It is not safe
// for concurrent use.
type store struct {
	cache          *compiler.Cache   // decoded sources
	bodies         map[string][]byte // section bodies by digest
	insertionOrder []string          // digests, oldest first
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
	s.insertionOrder = append(s.insertionOrder, digest)
	if len(s.insertionOrder) > maxStoredSections {
		delete(s.bodies, s.insertionOrder[0])
		s.insertionOrder = s.insertionOrder[1:]
	}
}
