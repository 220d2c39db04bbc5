package isolator

import "sync/atomic"

// survivorSlots bounds the fingerprints that AnsweredRequests holds. One that is overwritten by another of the same
// slot can be suspected again, so a collision costs no safety.
const survivorSlots = 4096

// AnsweredRequests holds fingerprints of requests that the present process of an upstream answered. Such a request does
// not crash each upstream that runs it. When a rack fails, many upstreams end at once while they all run the same
// common look-ups; without this, those look-ups were refused everywhere. The zero value is ready for use by many
// goroutines.
type AnsweredRequests struct {
	slots [survivorSlots]atomic.Uint64
}

// Add notes that the upstream answered a request.
func (s *AnsweredRequests) Add(fingerprint uint64) {
	slot := &s.slots[fingerprint%survivorSlots]
	if slot.Load() != fingerprint {
		slot.Store(fingerprint)
	}
}

// Suspects returns the keys as suspects of the end of the upstream, and forgets all fingerprints, since the next
// process has answered nothing yet. A request that was answered before is accused by its id only.
func (s *AnsweredRequests) Suspects(keys []Key) []Key {
	accused := make([]Key, 0, len(keys))
	for _, key := range keys {
		if key.Fingerprint != 0 && s.slots[key.Fingerprint%survivorSlots].Load() == key.Fingerprint {
			key = Key{ID: key.ID}
		}
		accused = append(accused, key)
	}
	for i := range s.slots {
		s.slots[i].Store(0)
	}
	return accused
}
