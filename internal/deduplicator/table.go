package deduplicator

import (
	"math/rand/v2"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// shardCount is the number of shards of a table. Each shard has its own lock, so that concurrent claims contend
// less: a node at the target size handles about 1,000 claims/s.
const shardCount = 16

// table stores records by id in shards.
type table struct {
	shards [shardCount]shard
	hasher index // selects the shard of an id; only its seeded hash is used
}

// newTable returns a table that uses at most limit bytes and stores encoded answers of up to maxAnswerBytes.
func newTable(limit, maxAnswerBytes int, window timekeeper.Millis) *table {
	t := &table{hasher: index{seed: rand.Uint64()}}
	for i := range t.shards {
		s := &t.shards[i]
		s.window, s.limit, s.maxAnswerBytes = window, limit/shardCount, maxAnswerBytes
		s.index.seed = rand.Uint64()
	}
	return t
}

// shard returns the shard of an id. The hash is seeded, so that callers cannot choose ids that fill a single shard.
func (t *table) shard(d ID) *shard {
	return &t.shards[t.hasher.hash(d)>>32%shardCount]
}

// lock removes expired records from the shard of an id and returns the shard locked.
func (t *table) lock(now timekeeper.Millis, d ID) *shard {
	s := t.shard(d)
	s.mutex.Lock()
	s.expire(now)
	return s
}

// bytes returns the memory in use by records and answers.
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

// count returns the number of records.
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

// each calls visit with the records of each shard. It holds no lock during the call.
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
