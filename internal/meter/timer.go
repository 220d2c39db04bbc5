package meter

import (
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicros is one hour in microseconds, the longest timeout that a call may have.
	maxMicros = int64(time.Hour / time.Microsecond)
	// significantDigits of 2 keeps values within 1% and a shard at about 25 KiB; 3 would take about 200 KiB.
	significantDigits = 2
)

// Timer is a histogram of durations with a resolution of 1 µs. It is safe for concurrent use: durations are spread over
// shards, and Record uses a shard whose lock is free, so that callers do not wait for each other.
type Timer struct {
	shards []timerShard
}

type timerShard struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
	sumMicros int64
	_         [40]byte // keeps neighbouring locks on different cache lines
}

// Summary is a snapshot of a timer.
type Summary struct {
	Count     int64
	Sum       time.Duration
	Max       time.Duration
	Quantiles []Quantile
}

// Quantile is the duration that a fraction of all durations does not exceed.
type Quantile struct {
	Level float64 // the fraction, between 0 and 1
	Value time.Duration
}

func newTimer() *Timer {
	// Twice as many shards as threads, so that Record finds a free shard at the first or second attempt.
	t := &Timer{shards: make([]timerShard, 2*runtime.GOMAXPROCS(0))}
	for i := range t.shards {
		t.shards[i].histogram = hdrhistogram.New(1, maxMicros, significantDigits)
	}
	return t
}

// Record adds a duration. Durations under 1 µs count as 1 µs, durations over an hour as an hour.
func (t *Timer) Record(duration time.Duration) {
	micros := min(max(duration.Microseconds(), 1), maxMicros)
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
	// RecordValue fails only for a value out of range, and Record has capped the value.
	_ = s.histogram.RecordValue(micros)
	s.sumMicros += micros
}

// Summary merges the shards and returns the count, sum, maximum and the quantiles at the given levels (0 to 1).
func (t *Timer) Summary(levels ...float64) Summary {
	merged := hdrhistogram.New(1, maxMicros, significantDigits)
	var sum int64
	for i := range t.shards {
		shard := &t.shards[i]
		shard.mutex.Lock()
		merged.Merge(shard.histogram)
		sum += shard.sumMicros
		shard.mutex.Unlock()
	}
	summary := Summary{Count: merged.TotalCount(), Sum: fromMicros(sum), Max: fromMicros(merged.Max())}
	for _, level := range levels {
		value := fromMicros(merged.ValueAtQuantile(level * 100))
		summary.Quantiles = append(summary.Quantiles, Quantile{Level: level, Value: value})
	}
	return summary
}

func fromMicros(count int64) time.Duration {
	return time.Duration(count) * time.Microsecond
}
