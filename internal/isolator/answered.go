package isolator

import "sync/atomic"

// answeredSlots is the number of fingerprints that AnsweredRequests holds. A fingerprint that another one overwrites
// can be suspected again, which is safe.
const answeredSlots = 4096

// AnsweredRequests holds the fingerprints of requests that the current process of an upstream has answered. Such a
// request does not crash every upstream that runs it. When a rack fails, many upstreams end at once while they run the
// same common requests, which would be refused everywhere if they were suspected. The zero value is ready for
// concurrent use.
type AnsweredRequests struct {
	slots [answeredSlots]atomic.Uint64
}

// Add records that the upstream answered a request.
func (s *AnsweredRequests) Add(fingerprint uint64) {
	slot := &s.slots[fingerprint%answeredSlots]
	if slot.Load() != fingerprint {
		slot.Store(fingerprint)
	}
}

// Suspects returns the suspects of a crash of the upstream, given the keys of the requests that were running. A request
// that was answered before is suspected by its id only. All fingerprints are cleared, since the next process has not
// answered any request yet.
func (s *AnsweredRequests) Suspects(keys []Key) []Key {
	suspects := make([]Key, 0, len(keys))
	for _, key := range keys {
		if key.Fingerprint != 0 && s.slots[key.Fingerprint%answeredSlots].Load() == key.Fingerprint {
			key = Key{ID: key.ID}
		}
		suspects = append(suspects, key)
	}
	for i := range s.slots {
		s.slots[i].Store(0)
	}
	return suspects
}
