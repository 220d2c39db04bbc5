package subscriber

import "github.com/jasmineproxy/jasmineproxy/internal/timekeeper"

// watchLag is how long the platform may keep a change from a watch that it answers, in ms.
const watchLag = timekeeper.Second

// Age returns for how long the active configuration has not been confirmed as the newest one, and false if it never
// was. The time includes that for which the machine was suspended.
func (s *Subscriber) Age() (timekeeper.Millis, bool) {
	confirmed := timekeeper.Millis(s.confirmed.Load())
	if confirmed == 0 {
		return 0, false
	}
	return max(s.options.Boot.Now()-confirmed, 0), true
}

// confirm records that the active configuration was the newest one at a time on the boot clock.
func (s *Subscriber) confirm(at timekeeper.Millis) {
	for known := s.confirmed.Load(); int64(at) > known; known = s.confirmed.Load() {
		if s.confirmed.CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

// watchEvidence returns the time up to which the reply to a watch shows all changes, given when it was sent and whether
// it brought changes. One that brought none was answered at the end of its wait.
func (s *Subscriber) watchEvidence(sent timekeeper.Millis, changed bool) timekeeper.Millis {
	if !changed && s.options.Boot.Now()-sent >= s.timing.watchWait {
		return sent + s.timing.watchWait - watchLag
	}
	return sent - watchLag
}

// evidence returns the time up to which the reply of a relay shows all changes, given when it was requested; 0 if it
// shows none. The reply states how long the relay held the request and the age of its own evidence at the end of that
// time, so that a reply that was under way for long shows nothing newer.
func (r *WatchReply) evidence(requested timekeeper.Millis) timekeeper.Millis {
	if !r.Confirmed || r.Age < 0 || r.Held < 0 || r.Held > maxApplyTime {
		return 0
	}
	return requested + r.Held - r.Age
}
