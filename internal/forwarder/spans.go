package forwarder

import (
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// spanWeight is the weight of the newest run in the average service time of a call. An upstream that turns slow is told
// from its neighbours after some ten runs.
const spanWeight = 0.1

// spans keeps the average service time of each call at the upstream, without the wait for a slot.
type spans struct {
	calls sync.Map // name of a call to *span
}

// span is the average of one call.
type span struct {
	mutex   sync.Mutex
	average float64 // ms
}

// add takes the service time of a run and returns the average, at least 1 ms.
func (s *spans) add(call string, sample timekeeper.Millis) timekeeper.Millis {
	found, ok := s.calls.Load(call)
	if !ok {
		found, _ = s.calls.LoadOrStore(call, &span{})
	}
	one, ok := found.(*span)
	if !ok {
		return sample
	}
	one.mutex.Lock()
	defer one.mutex.Unlock()
	if one.average == 0 {
		one.average = float64(sample)
	}
	one.average += (float64(sample) - one.average) * spanWeight
	return max(timekeeper.Millis(one.average), 1)
}
