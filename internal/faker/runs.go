package faker

import "maps"

// AllRuns returns how often each request id was started.
func (u *Upstream) AllRuns() map[string]int {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	return maps.Clone(u.runs)
}
