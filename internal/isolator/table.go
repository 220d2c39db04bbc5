package isolator

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Limits of the table, thresholds of marks, and times, as in section 3.10 of the design page.
const (
	tableLimit            = 1024
	minIDCrashes          = 2
	minFingerprintCrashes = 3
	minCallCrashes        = 5
	minCallHosts          = 2
	minCallFingerprints   = 3
	idWindow              = 10 * timekeeper.Minute // as long as ids are remembered
	shortWindow           = 60 * timekeeper.Second // for fingerprints and calls
	requestMarkTime       = 60 * timekeeper.Second
	callMarkTime          = 30 * timekeeper.Second
)

// crashID identifies one crash of an upstream.
type crashID struct {
	host        string
	incarnation uint64
	number      uint64
}

// suspect identifies one request that was running during a crash.
type suspect struct {
	crash crashID
	key   Key
}

// suspectRecord is a suspect with the time of the crash by this node's clock.
type suspectRecord struct {
	suspect
	crashedAt timekeeper.Millis
}

// markKey identifies a mark. Only the fields of key that belong to the scope are set.
type markKey struct {
	scope Scope
	key   Key
}

// table counts crashes and derives marks. It is a state machine without I/O.
type table struct {
	singleRequestsOnly bool            // no call is refused as a whole
	records            []suspectRecord // in the order of arrival
	known              map[suspect]struct{}
	marks              map[markKey]Mark
	disabled           disabledRules
}

// disabledRules are the rules that a test turns off to show that they are needed.
type disabledRules struct {
	limit          bool // the table grows without bound
	sending        bool // crashes are not sent to other nodes
	repeats        bool // crashes are sent only once, so lost messages are not repaired
	bystanderCheck bool // every call that ran during the crashes is refused
}

func newTable() *table {
	return &table{known: make(map[suspect]struct{}), marks: make(map[markKey]Mark)}
}

// add counts a crash for one request, unless the crash is known or older than idWindow, and reports whether it was
// counted.
func (t *table) add(now timekeeper.Millis, crash Crash) bool {
	added := suspect{crashID{crash.Host, crash.Incarnation, crash.Number}, crash.Key}
	crashedAt := now - max(crash.Age, 0)
	if _, known := t.known[added]; known || now-crashedAt > idWindow {
		return false
	}
	t.expire(now)
	t.known[added] = struct{}{}
	t.records = append(t.records, suspectRecord{added, crashedAt})
	if len(t.records) > tableLimit && !t.disabled.limit {
		delete(t.known, t.records[0].suspect)
		t.records = slices.Delete(t.records, 0, 1)
	}
	t.addMarks(crashedAt, crash.Key)
	return true
}

// expire drops crashes older than idWindow and expired marks.
func (t *table) expire(now timekeeper.Millis) {
	t.records = slices.DeleteFunc(t.records, func(r suspectRecord) bool {
		if now-r.crashedAt <= idWindow {
			return false
		}
		delete(t.known, r.suspect)
		return true
	})
	maps.DeleteFunc(t.marks, func(_ markKey, m Mark) bool { return m.Until <= now })
}

// addMarks adds the marks that a crash at the given time calls for. Only marks that match the key can be new.
func (t *table) addMarks(crashedAt timekeeper.Millis, key Key) {
	if key.ID != "" {
		crashes := t.crashesWith(crashedAt, idWindow, func(k Key) bool { return k.ID == key.ID })
		t.addMark(ScopeID, Key{ID: key.ID}, len(crashes), minIDCrashes, crashedAt+requestMarkTime)
	}
	if key.Call == "" {
		return // suspected by id only
	}
	crashes := t.crashesWith(crashedAt, shortWindow, func(k Key) bool { return k.Fingerprint == key.Fingerprint })
	t.addMark(ScopeFingerprint, Key{Fingerprint: key.Fingerprint}, len(crashes), minFingerprintCrashes,
		crashedAt+requestMarkTime)
	if !t.singleRequestsOnly && t.isCallSuspect(crashedAt, key) {
		call := Key{Account: key.Account, Call: key.Call}
		t.addMark(ScopeCall, call, minCallCrashes, minCallCrashes, crashedAt+callMarkTime)
	}
}

// addMark adds or extends a mark if there were enough crashes. If the table is full, it drops the mark that expires
// first.
func (t *table) addMark(scope Scope, key Key, crashes, threshold int, until timekeeper.Millis) {
	if crashes < threshold {
		return
	}
	added := markKey{scope, key}
	t.marks[added] = Mark{Scope: scope, Key: key, Crashes: crashes, Until: max(until, t.marks[added].Until)}
	if len(t.marks) <= tableLimit || t.disabled.limit {
		return
	}
	oldest := added
	for s, m := range t.marks {
		if m.Until < t.marks[oldest].Until {
			oldest = s
		}
	}
	delete(t.marks, oldest)
}

// crashesWith returns the crashes within the window around at during which a matching request was running.
func (t *table) crashesWith(at, window timekeeper.Millis, match func(Key) bool) map[crashID]bool {
	found := make(map[crashID]bool)
	for i := range t.records {
		r := &t.records[i]
		if age := at - r.crashedAt; age <= window && age >= -window && match(r.key) {
			found[r.crash] = true
		}
	}
	return found
}

// isCallSuspect reports whether the call of key should be refused as a whole: there were enough crashes, hosts and
// fingerprints, and no other call was running during all these crashes and further ones, which would explain them
// better.
func (t *table) isCallSuspect(at timekeeper.Millis, key Key) bool {
	sameCall := func(k Key) bool { return k.Account == key.Account && k.Call == key.Call }
	crashes := t.crashesWith(at, shortWindow, sameCall)
	if len(crashes) < minCallCrashes {
		return false
	}
	hosts, fingerprints := make(map[string]bool), make(map[uint64]bool)
	others := make(map[Key]map[crashID]bool)
	for _, r := range t.records {
		if age := at - r.crashedAt; age > shortWindow || age < -shortWindow {
			continue
		}
		if sameCall(r.key) {
			hosts[r.crash.host] = true
			fingerprints[r.key.Fingerprint] = true
			continue
		}
		if r.key.Call == "" {
			continue
		}
		call := Key{Account: r.key.Account, Call: r.key.Call}
		if others[call] == nil {
			others[call] = make(map[crashID]bool)
		}
		others[call][r.crash] = true
	}
	if len(hosts) < minCallHosts || len(fingerprints) < minCallFingerprints {
		return false
	}
	for _, other := range others {
		if !t.disabled.bystanderCheck && len(other) > len(crashes) && containsAll(other, crashes) {
			return false
		}
	}
	return true
}

// containsAll reports whether whole contains all crashes of part.
func containsAll(whole, part map[crashID]bool) bool {
	for e := range part {
		if !whole[e] {
			return false
		}
	}
	return true
}

// activeMarks returns the unexpired marks in a fixed order.
func (t *table) activeMarks(now timekeeper.Millis) []Mark {
	t.expire(now)
	marks := slices.Collect(maps.Values(t.marks))
	slices.SortFunc(marks, func(a, b Mark) int {
		return cmp.Or(cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Key.ID, b.Key.ID),
			cmp.Compare(a.Key.Account, b.Key.Account), cmp.Compare(a.Key.Call, b.Key.Call),
			cmp.Compare(a.Key.Fingerprint, b.Key.Fingerprint))
	})
	return marks
}

// recentCrashes returns up to limit crashes that are at most maxAge old, newest first, with their current age.
func (t *table) recentCrashes(now, maxAge timekeeper.Millis, limit int) []Crash {
	var crashes []Crash
	for _, r := range slices.Backward(t.records) {
		if len(crashes) == limit {
			break
		}
		if age := now - r.crashedAt; age <= maxAge {
			crashes = append(crashes, Crash{
				Key: r.key, Host: r.crash.host, Incarnation: r.crash.incarnation, Number: r.crash.number, Age: max(age, 0),
			})
		}
	}
	return crashes
}
