package deduplicator

// entry is a record in memory. The entries of a time slot form a linked list through next.
type entry struct {
	id           ID
	sequence     uint64
	digest       uint64
	storedAnswer *storedAnswer
	hostProcess  uint32 // number in the shard's hostProcesses
	callKey      uint32 // number in the shard's callKeys
	next         uint32 // number of the next entry; 0 for none
	attempt      uint16
	settled      uint16 // at a host: attempts up to this number never start
	status       uint16
	state        State
}

// chunkSize is the number of entries that are allocated together.
const chunkSize = 256

// slab allocates entries in chunks, so that growth copies no entries. Number 0 is never used.
type slab struct {
	chunks    []*[chunkSize]entry
	firstFree uint32
	used      uint32
	highest   uint32
}

// at returns the entry with a number.
func (s *slab) at(number uint32) *entry {
	return &s.chunks[number/chunkSize][number%chunkSize]
}

// acquire returns the number of an empty entry.
func (s *slab) acquire() uint32 {
	s.used++
	if s.firstFree != 0 {
		number := s.firstFree
		s.firstFree = s.at(number).next
		*s.at(number) = entry{}
		return number
	}
	s.highest++
	if int(s.highest/chunkSize) >= len(s.chunks) {
		s.chunks = append(s.chunks, new([chunkSize]entry))
	}
	return s.highest
}

// release adds an entry to the free list.
func (s *slab) release(number uint32) {
	*s.at(number) = entry{next: s.firstFree}
	s.firstFree = number
	s.used--
}
