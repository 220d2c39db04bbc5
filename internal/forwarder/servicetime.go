package forwarder

import (
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// serviceTimeWeight is the weight of the newest run in the EWMA of the service time of a call. After about ten runs, an
// upstream that became slow is distinguishable from its neighbours.
const serviceTimeWeight = 0.1

// serviceTimes keeps an average time of each call: at a host node that of its runs, without the wait for a slot; at an
// entry node that of its exchanges.
type serviceTimes struct {
	calls sync.Map // name of a call to *averageTime
}

// averageTime is the EWMA of the service time of one call.
type averageTime struct {
	mutex   sync.Mutex
	average float64 // ms
}

// add records the service time of a run and returns the average, at least 1 ms.
func (s *serviceTimes) add(call string, sample timekeeper.Millis) timekeeper.Millis {
	found, ok := s.calls.Load(call)
	if !ok {
		found, _ = s.calls.LoadOrStore(call, &averageTime{})
	}
	callAverage, ok := found.(*averageTime)
	if !ok {
		return sample
	}
	callAverage.mutex.Lock()
	defer callAverage.mutex.Unlock()
	if callAverage.average == 0 {
		callAverage.average = float64(sample)
	}
	callAverage.average += (float64(sample) - callAverage.average) * serviceTimeWeight
	return max(timekeeper.Millis(callAverage.average), 1)
}

// average returns the average service time of a call, or 0 if none is known.
func (s *serviceTimes) average(call string) timekeeper.Millis {
	found, _ := s.calls.Load(call)
	callAverage, ok := found.(*averageTime)
	if !ok {
		return 0
	}
	callAverage.mutex.Lock()
	defer callAverage.mutex.Unlock()
	return timekeeper.Millis(callAverage.average)
}
