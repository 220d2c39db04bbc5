package deduplicator

// entry is a record in memory. Entries of one birth slot form a list through next.
type entry struct {
	id       ID
	sequence uint64
	digest   uint64
	kept     *kept
	holder   uint32
	kind     uint32
	next     uint32
	attempt  uint16
	settled  uint16 // at a host: attempts up to this number never start
	status   uint16
	state    State
}

// chunkSize is the number of entries that are allocated together.
const chunkSize = 256

// slab stores entries in chunks, so that growth copies nothing. Number 0 is never used.
type slab struct {
	chunks []*[chunkSize]entry
	free   uint32
	used   uint32
	top    uint32
}

// at returns the entry of a number.
func (s *slab) at(number uint32) *entry {
	return &s.chunks[number/chunkSize][number%chunkSize]
}

// take returns the number of an empty entry.
func (s *slab) take() uint32 {
	s.used++
	if s.free != 0 {
		number := s.free
		s.free = s.at(number).next
		*s.at(number) = entry{}
		return number
	}
	s.top++
	if int(s.top/chunkSize) >= len(s.chunks) {
		s.chunks = append(s.chunks, new([chunkSize]entry))
	}
	return s.top
}

// give returns an entry for later use.
func (s *slab) give(number uint32) {
	*s.at(number) = entry{next: s.free}
	s.free = number
	s.used--
}
