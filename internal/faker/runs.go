package faker

import "maps"

// AllRuns returns the number of started runs of each request id.
func (u *Upstream) AllRuns() map[string]int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return maps.Clone(u.runs)
}
