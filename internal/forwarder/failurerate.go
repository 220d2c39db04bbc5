package forwarder

import "sync"

// failureWeight is the weight of the newest run in the EWMA of failed runs.
const failureWeight = 0.1

// failureRate is the EWMA of the share of runs that the upstream answers with a failure or that get no complete
// response.
type failureRate struct {
	mutex sync.Mutex
	rate  float64
}

// add records whether a run failed.
func (f *failureRate) add(failed bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	sample := 0.0
	if failed {
		sample = 1
	}
	f.rate += (sample - f.rate) * failureWeight
}

// permille returns the rate in thousandths.
func (f *failureRate) permille() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return int(f.rate * 1000)
}
