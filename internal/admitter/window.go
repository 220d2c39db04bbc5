package admitter

import (
	"math"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	windowBuckets  = 10
	bucketDuration = timekeeper.Second / windowBuckets
)

// window is a sliding sum over the last second, in buckets of 100 ms. The newest bucket is not over, so the sum covers
// 900 to 1000 ms.
type window struct {
	sums   [windowBuckets]int
	total  int
	newest timekeeper.Millis // number of the newest bucket: time divided by bucketDuration
}

func (w *window) add(now timekeeper.Millis, amount int) {
	w.advance(now)
	w.sums[w.newest%windowBuckets] += amount
	w.total += amount
}

// sum returns the total of the buckets.
func (w *window) sum(now timekeeper.Millis) int {
	w.advance(now)
	return w.total
}

// perSecond returns the sum, scaled to a whole second.
func (w *window) perSecond(now timekeeper.Millis) int {
	covered := (windowBuckets-1)*bucketDuration + now%bucketDuration + 1
	return int(math.Round(float64(w.sum(now)) * float64(timekeeper.Second) / float64(covered)))
}

// advance drops the buckets that are older than a second.
func (w *window) advance(now timekeeper.Millis) {
	current := now / bucketDuration
	if current-w.newest >= windowBuckets {
		*w = window{newest: current}
		return
	}
	for w.newest < current {
		w.newest++
		w.total -= w.sums[w.newest%windowBuckets]
		w.sums[w.newest%windowBuckets] = 0
	}
}
