package deduplicator

import (
	"math/rand/v2"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// shardCount is the number of parts of a table. A node at the target size handles about 1,000 claims/s.
const shardCount = 16

// table keeps records by id in shards.
type table struct {
	shards [shardCount]shard
	spread index // only its seeded hash is used
}

// newTable returns a table bounded by limit bytes that keeps answers up to largest bytes.
func newTable(limit, largest int, window timekeeper.Millis) *table {
	t := &table{spread: index{seed: rand.Uint64()}}
	for i := range t.shards {
		s := &t.shards[i]
		s.window, s.limit, s.largest = window, limit/shardCount, largest
		s.index.seed = rand.Uint64()
	}
	return t
}

// shard returns the part that keeps an id. The hash is seeded, so that callers cannot choose ids that fill one part.
func (t *table) shard(d ID) *shard {
	return &t.shards[t.spread.hash(d)>>32%shardCount]
}

// lock returns the shard of an id, locked, without records that expired by now.
func (t *table) lock(now timekeeper.Millis, d ID) *shard {
	s := t.shard(d)
	s.mutex.Lock()
	s.expire(now)
	return s
}

// bytes is the memory in use by records and answers.
func (t *table) bytes() int {
	total := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mutex.Lock()
		total += s.bytes()
		s.mutex.Unlock()
	}
	return total
}

// count is the number of records.
func (t *table) count() int {
	total := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mutex.Lock()
		total += int(s.slab.used)
		s.mutex.Unlock()
	}
	return total
}

// each calls visit with the record of every id, one shard at a time, without holding a lock during the call.
func (t *table) each(now timekeeper.Millis, visit func([]Record)) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mutex.Lock()
		s.expire(now)
		records := make([]Record, 0, s.slab.used)
		for _, number := range s.index.slots {
			if number != 0 {
				records = append(records, s.record(s.slab.at(number)))
			}
		}
		s.mutex.Unlock()
		visit(records)
	}
}
