package isolator

import (
	"cmp"
	"maps"
	"slices"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Limits of section 3.10 of the design page.
const (
	tableLimit        = 1024
	idDeaths          = 2
	fingerprintDeaths = 3
	callDeaths        = 5
	callHosts         = 2
	callFingerprints  = 3
	idWindow          = 10 * timekeeper.Minute // as long as ids are remembered
	shortWindow       = 60 * timekeeper.Second // for fingerprints and calls
	requestSpan       = 60 * timekeeper.Second
	callSpan          = 30 * timekeeper.Second
)

// event identifies the death of one upstream.
type event struct {
	host        string
	incarnation uint64
	number      uint64
}

// report identifies one suspect of one death.
type report struct {
	event event
	key   Key
}

// seen is a report with the time of the death by this node's clock.
type seen struct {
	report
	at timekeeper.Millis
}

// subject is what a mark is for: a Key with only the parts of its scope.
type subject struct {
	scope Scope
	key   Key
}

// table counts deaths and derives marks. It is a state machine without I/O.
type table struct {
	requests bool   // refuses no kind of call as a whole
	order    []seen // in the order of arrival
	known    map[report]struct{}
	marks    map[subject]Mark
	rules    rules
}

// rules are the parts of the mechanism that tests turn off to show that they are needed.
type rules struct {
	unbounded bool // the table grows without limit
	silent    bool // deaths are not sent to other nodes
	once      bool // lost messages are not repaired
	crude     bool // every kind of call that ran during the deaths is refused
}

// newTable returns an empty table.
func newTable() *table {
	return &table{known: make(map[report]struct{}), marks: make(map[subject]Mark)}
}

// add counts a death that happened age ms before now, and reports whether it was new.
func (t *table) add(now timekeeper.Millis, d Crash) bool {
	r := report{event{d.Host, d.Incarnation, d.Number}, d.Key}
	at := now - max(d.Age, 0)
	if _, known := t.known[r]; known || now-at > idWindow {
		return false
	}
	t.expire(now)
	t.known[r] = struct{}{}
	t.order = append(t.order, seen{r, at})
	if len(t.order) > tableLimit && !t.rules.unbounded {
		delete(t.known, t.order[0].report)
		t.order = slices.Delete(t.order, 0, 1)
	}
	t.mark(at, d.Key)
	return true
}

// expire drops deaths and marks that are too old.
func (t *table) expire(now timekeeper.Millis) {
	t.order = slices.DeleteFunc(t.order, func(r seen) bool {
		if now-r.at <= idWindow {
			return false
		}
		delete(t.known, r.report)
		return true
	})
	maps.DeleteFunc(t.marks, func(_ subject, m Mark) bool { return m.Until <= now })
}

// mark refuses what the deaths up to the given time call for. Only marks that concern the key can be new.
func (t *table) mark(at timekeeper.Millis, key Key) {
	if key.ID != "" {
		deaths := t.events(at, idWindow, func(k Key) bool { return k.ID == key.ID })
		t.refuse(ScopeID, Key{ID: key.ID}, len(deaths), idDeaths, at+requestSpan)
	}
	if key.Call == "" {
		return // accused by its id only
	}
	deaths := t.events(at, shortWindow, func(k Key) bool { return k.Fingerprint == key.Fingerprint })
	t.refuse(ScopeFingerprint, Key{Fingerprint: key.Fingerprint}, len(deaths), fingerprintDeaths, at+requestSpan)
	if !t.requests && t.callSuspect(at, key) {
		kind := Key{Account: key.Account, Call: key.Call}
		t.refuse(ScopeCall, kind, callDeaths, callDeaths, at+callSpan)
	}
}

// refuse adds or prolongs a mark if there were enough deaths.
func (t *table) refuse(scope Scope, key Key, deaths, least int, until timekeeper.Millis) {
	if deaths < least {
		return
	}
	at := subject{scope, key}
	t.marks[at] = Mark{Scope: scope, Key: key, Crashes: deaths, Until: max(until, t.marks[at].Until)}
	if len(t.marks) <= tableLimit || t.rules.unbounded {
		return
	}
	oldest := at
	for s, m := range t.marks {
		if m.Until < t.marks[oldest].Until {
			oldest = s
		}
	}
	delete(t.marks, oldest)
}

// events returns the deaths within the window before at during which a request that matches ran.
func (t *table) events(at, window timekeeper.Millis, match func(Key) bool) map[event]bool {
	found := make(map[event]bool)
	for i := range t.order {
		r := &t.order[i]
		if age := at - r.at; age <= window && age >= -window && match(r.key) {
			found[r.event] = true
		}
	}
	return found
}

// callSuspect reports whether the kind of call of key is to be refused: enough deaths, hosts and fingerprints, and no
// other kind of call that explains all these deaths and more.
func (t *table) callSuspect(at timekeeper.Millis, key Key) bool {
	same := func(k Key) bool { return k.Account == key.Account && k.Call == key.Call }
	deaths := t.events(at, shortWindow, same)
	if len(deaths) < callDeaths {
		return false
	}
	hosts, fingerprints := make(map[string]bool), make(map[uint64]bool)
	others := make(map[Key]map[event]bool)
	for _, r := range t.order {
		if age := at - r.at; age > shortWindow || age < -shortWindow {
			continue
		}
		if same(r.key) {
			hosts[r.event.host] = true
			fingerprints[r.key.Fingerprint] = true
			continue
		}
		if r.key.Call == "" {
			continue
		}
		kind := Key{Account: r.key.Account, Call: r.key.Call}
		if others[kind] == nil {
			others[kind] = make(map[event]bool)
		}
		others[kind][r.event] = true
	}
	if len(hosts) < callHosts || len(fingerprints) < callFingerprints {
		return false
	}
	for _, other := range others {
		if !t.rules.crude && len(other) > len(deaths) && covers(other, deaths) {
			return false
		}
	}
	return true
}

// covers reports whether all events of part are in whole.
func covers(whole, part map[event]bool) bool {
	for e := range part {
		if !whole[e] {
			return false
		}
	}
	return true
}

// list returns the marks in force, in a fixed order.
func (t *table) list(now timekeeper.Millis) []Mark {
	t.expire(now)
	marks := slices.Collect(maps.Values(t.marks))
	slices.SortFunc(marks, func(a, b Mark) int {
		return cmp.Or(cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Key.ID, b.Key.ID),
			cmp.Compare(a.Key.Account, b.Key.Account), cmp.Compare(a.Key.Call, b.Key.Call),
			cmp.Compare(a.Key.Fingerprint, b.Key.Fingerprint))
	})
	return marks
}

// recent returns up to limit deaths that are at most span old, newest first, with their present age.
func (t *table) recent(now, span timekeeper.Millis, limit int) []Crash {
	var deaths []Crash
	for _, r := range slices.Backward(t.order) {
		if len(deaths) == limit {
			break
		}
		if age := now - r.at; age <= span {
			deaths = append(deaths, Crash{
				Key: r.key, Host: r.event.host, Incarnation: r.event.incarnation, Number: r.event.number, Age: max(age, 0),
			})
		}
	}
	return deaths
}
