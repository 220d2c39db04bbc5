package deduplicator

import "encoding/binary"

// index is a hash table from ids to entry numbers, with open addressing and linear probing. A free slot contains 0.
// The index stores no ids; it reads them from the slab.
type index struct {
	slots []uint32
	used  int
	seed  uint64
}

// minIndexSlots is the initial number of slots. Sizes are powers of two.
const minIndexSlots = 64

// hash mixes the id with a secret seed, so that callers cannot choose ids that collide.
func (x *index) hash(d ID) uint64 {
	h := (binary.LittleEndian.Uint64(d[:8]) ^ x.seed) * 0x9e3779b97f4a7c15
	h = (h ^ h>>32 ^ binary.LittleEndian.Uint64(d[8:])) * 0xd6e8feb86659fd93
	return h ^ h>>32
}

// find returns the number of the entry with the id, or 0.
func (x *index) find(s *slab, d ID) uint32 {
	if x.used == 0 {
		return 0
	}
	mask := uint64(len(x.slots) - 1)
	for at := x.hash(d) & mask; x.slots[at] != 0; at = (at + 1) & mask {
		if s.at(x.slots[at]).id == d {
			return x.slots[at]
		}
	}
	return 0
}

// insert adds the number of an entry whose id is not in the index.
func (x *index) insert(s *slab, number uint32) {
	if 4*(x.used+1) > 3*len(x.slots) {
		x.resize(s, max(minIndexSlots, 2*len(x.slots)))
	}
	x.place(s, number)
	x.used++
}

// place writes a number to the first free slot of the probe sequence of its id.
func (x *index) place(s *slab, number uint32) {
	mask := uint64(len(x.slots) - 1)
	at := x.hash(s.at(number).id) & mask
	for x.slots[at] != 0 {
		at = (at + 1) & mask
	}
	x.slots[at] = number
}

// resize moves all numbers to a table of the given size.
func (x *index) resize(s *slab, size int) {
	old := x.slots
	x.slots = make([]uint32, size)
	for _, number := range old {
		if number != 0 {
			x.place(s, number)
		}
	}
}

// remove deletes the number of the entry with the id and closes the gap in its probe sequence.
func (x *index) remove(s *slab, d ID) {
	mask := uint64(len(x.slots) - 1)
	at := x.hash(d) & mask
	for x.slots[at] == 0 || s.at(x.slots[at]).id != d {
		if x.slots[at] == 0 {
			return
		}
		at = (at + 1) & mask
	}
	x.used--
	for next := (at + 1) & mask; x.slots[next] != 0; next = (next + 1) & mask {
		home := x.hash(s.at(x.slots[next]).id) & mask
		if (next-home)&mask >= (next-at)&mask {
			x.slots[at] = x.slots[next]
			at = next
		}
	}
	x.slots[at] = 0
}
