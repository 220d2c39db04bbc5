package admitter

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

const (
	buckets    = 10
	bucketSpan = timekeeper.Second / buckets
)

// window sums amounts over the last second, in steps of 100 ms.
type window struct {
	counts [buckets]int
	total  int
	last   timekeeper.Millis // number of the newest bucket
}

func (w *window) add(now timekeeper.Millis, amount int) {
	w.move(now)
	w.counts[w.last%buckets] += amount
	w.total += amount
}

// count returns the sum over the last second.
func (w *window) count(now timekeeper.Millis) int {
	w.move(now)
	return w.total
}

func (w *window) move(now timekeeper.Millis) {
	current := now / bucketSpan
	if current-w.last >= buckets {
		*w = window{last: current}
		return
	}
	for w.last < current {
		w.last++
		w.total -= w.counts[w.last%buckets]
		w.counts[w.last%buckets] = 0
	}
}
