package deduplicator

// interner assigns numbers to distinct values and counts their references, so that many records share a copy. The zero
// value is ready to use.
type interner[T comparable] struct {
	numbers map[T]uint32
	values  []T
	uses    []uint32
	free    []uint32
}

// acquire returns the number of value and adds a reference to it.
func (p *interner[T]) acquire(value T) uint32 {
	if number, found := p.numbers[value]; found {
		p.uses[number]++
		return number
	}
	if p.numbers == nil {
		p.numbers = make(map[T]uint32)
	}
	var number uint32
	if last := len(p.free) - 1; last >= 0 {
		number = p.free[last]
		p.free = p.free[:last]
		p.values[number], p.uses[number] = value, 1
	} else {
		number = uint32(len(p.values))
		p.values, p.uses = append(p.values, value), append(p.uses, 1)
	}
	p.numbers[value] = number
	return number
}

// release removes a reference to a number, and the value with its last reference.
func (p *interner[T]) release(number uint32) {
	p.uses[number]--
	if p.uses[number] > 0 {
		return
	}
	var zero T
	delete(p.numbers, p.values[number])
	p.values[number] = zero
	p.free = append(p.free, number)
}
