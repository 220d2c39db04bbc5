package meter

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicros is one hour, the longest timeout that a call may have.
	maxMicros = int64(time.Hour / time.Microsecond)
	// significantDigits of 2 keeps values within 1% and a shard at about 25 KiB; 3 would take about 200 KiB.
	significantDigits = 2
)

// Timer is a histogram of time spans with a resolution of 1 µs. It is safe for concurrent use: spans are spread
// over shards, and a recorder takes a shard that nobody else holds, so calls do not wait for each other.
type Timer struct {
	shards []timerShard
}

type timerShard struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
	sum       int64
	_         [40]byte // keeps neighbouring locks on different cache lines
}

// Summary is the state of a timer.
type Summary struct {
	Count     int64
	Sum       time.Duration
	Max       time.Duration
	Quantiles []Quantile
}

// Quantile is a span that a share of all spans does not exceed.
type Quantile struct {
	Share float64
	Span  time.Duration
}

func newTimer() *Timer {
	// Twice as many shards as threads, so that a free one is found at the first or second attempt.
	t := &Timer{shards: make([]timerShard, 2*runtime.GOMAXPROCS(0))}
	for i := range t.shards {
		t.shards[i].histogram = hdrhistogram.New(1, maxMicros, significantDigits)
	}
	return t
}

// Record adds a span. Spans under 1 µs count as 1 µs, spans over an hour as an hour.
func (t *Timer) Record(span time.Duration) {
	micros := min(max(span.Microseconds(), 1), maxMicros)
	first := rand.IntN(len(t.shards))
	for i := range t.shards {
		shard := &t.shards[(first+i)%len(t.shards)]
		if shard.mutex.TryLock() {
			shard.add(micros)
			return
		}
	}
	t.shards[first].mutex.Lock()
	t.shards[first].add(micros)
}

// add records a value and releases the lock that the caller took.
func (s *timerShard) add(micros int64) {
	defer s.mutex.Unlock()
	// RecordValue fails only for a value out of range, and Record has limited it.
	_ = s.histogram.RecordValue(micros)
	s.sum += micros
}

// Summary merges the shards and returns the count, sum, maximum and the quantiles at the given shares (0 to 1).
func (t *Timer) Summary(shares ...float64) Summary {
	merged := hdrhistogram.New(1, maxMicros, significantDigits)
	var sum int64
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mutex.Lock()
		merged.Merge(shard.histogram)
		sum += shard.sum
		shard.mutex.Unlock()
	}
	summary := Summary{Count: merged.TotalCount(), Sum: micros(sum), Max: micros(merged.Max())}
	for _, share := range shares {
		span := micros(merged.ValueAtQuantile(share * 100))
		summary.Quantiles = append(summary.Quantiles, Quantile{Share: share, Span: span})
	}
	return summary
}

func micros(value int64) time.Duration {
	return time.Duration(value) * time.Microsecond
}
