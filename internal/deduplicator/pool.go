package deduplicator

// pool numbers distinct values and counts their uses, so that many records share one copy. The zero value is ready.
type pool[T comparable] struct {
	numbers map[T]uint32
	values  []T
	uses    []uint32
	free    []uint32
}

// take returns the number of value and counts one more use.
func (p *pool[T]) take(value T) uint32 {
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

// give ends one use of a number; the last one forgets the value.
func (p *pool[T]) give(number uint32) {
	p.uses[number]--
	if p.uses[number] > 0 {
		return
	}
	var zero T
	delete(p.numbers, p.values[number])
	p.values[number] = zero
	p.free = append(p.free, number)
}
