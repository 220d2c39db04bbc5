package publisher

import (
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// leaseName is the name of the publisher lease.
const leaseName = "publisher"

// Timing of the lease. Other nodes poll less often than the holder renews, which saves platform calls. A slow takeover
// is harmless because the lease only avoids duplicate work.
const (
	leaseDuration      = 10 * timekeeper.Second
	leaseRenewInterval = 3 * timekeeper.Second
	leasePollInterval  = 10 * timekeeper.Second
)

// lease is one node's state of the publisher lease. Clocks of different nodes are not compared: the lease has expired
// when its revision has not changed for leaseDuration on this node's clock.
type lease struct {
	node      string
	revision  uint64            // last seen revision
	firstSeen timekeeper.Millis // when that revision was first seen
	observed  bool              // revision and firstSeen are known
	held      bool              // this node wrote the revision
	expires   timekeeper.Millis // end of the lease if held
}

func newLease(node string) *lease {
	return &lease{node: node}
}

// holds reports whether the node holds the lease.
func (l *lease) holds(now timekeeper.Millis) bool {
	return l.held && now < l.expires
}

// observe records the revision of the lease object that was read; 0 means that there is none.
func (l *lease) observe(now timekeeper.Millis, revision uint64) {
	if !l.observed || revision != l.revision {
		l.observed, l.revision, l.firstSeen, l.held = true, revision, now, false
	}
}

// request returns the write that acquires or renews the lease. It reports false while another node may hold the lease.
func (l *lease) request(now timekeeper.Millis) (connector.Object, bool) {
	free := l.observed && (l.revision == 0 || now-l.firstSeen >= leaseDuration)
	if !l.holds(now) && !free {
		return connector.Object{}, false
	}
	return connector.Object{
		Kind: connector.KindLease, Name: leaseName, Revision: l.revision, Value: []byte(l.node),
	}, true
}

// granted records a successful write that started at the given time.
func (l *lease) granted(started timekeeper.Millis, revision uint64) {
	l.observed, l.revision, l.firstSeen = true, revision, started
	l.held, l.expires = true, started+leaseDuration
}

// reset drops the lease because another node changed it or this node is no longer eligible to hold it. The lease must
// be observed again before the next request.
func (l *lease) reset() {
	l.held, l.observed = false, false
}
