package forwarder

import "sync"

// faultWeight is the weight of the newest run in the share of runs that an upstream fails.
const faultWeight = 0.1

// faults is the share of runs that the upstream answers with a failure, or whose answer is lost.
type faults struct {
	mutex sync.Mutex
	share float64
}

// add takes the end of a run.
func (f *faults) add(failed bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	sample := 0.0
	if failed {
		sample = 1
	}
	f.share += (sample - f.share) * faultWeight
}

// value returns the share in thousandths.
func (f *faults) value() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return int(f.share * 1000)
}
