package publisher

import (
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// leaseName is the name of the publisher lease.
const leaseName = "publisher"

// Times of the lease. Competitors poll less often than the holder renews, which keeps their platform calls few; the
// lease only avoids duplicate work, so a slow takeover does no harm.
const (
	leaseSpan  = 10 * timekeeper.Second
	leaseRenew = 3 * timekeeper.Second
	leasePoll  = 10 * timekeeper.Second
)

// lease is the state of the publisher lease at one node. It compares no clocks of different nodes: a lease is
// lapsed when its revision stayed the same for the whole span on this node's clock.
type lease struct {
	node     string
	revision uint64            // last seen revision
	seen     timekeeper.Millis // when that revision was first seen
	observed bool
	held     bool
	until    timekeeper.Millis
}

func newLease(node string) *lease {
	return &lease{node: node}
}

// holds reports whether the node holds the lease.
func (l *lease) holds(now timekeeper.Millis) bool {
	return l.held && now < l.until
}

// observe takes a reading of the lease object; revision 0 means that there is none.
func (l *lease) observe(now timekeeper.Millis, revision uint64) {
	if !l.observed || revision != l.revision {
		l.observed, l.revision, l.seen, l.held = true, revision, now, false
	}
}

// request returns the write that takes or renews the lease, if the node may try.
func (l *lease) request(now timekeeper.Millis) (connector.Object, bool) {
	free := l.observed && (l.revision == 0 || now-l.seen >= leaseSpan)
	if !l.holds(now) && !free {
		return connector.Object{}, false
	}
	return connector.Object{
		Kind: connector.KindLease, Name: leaseName, Revision: l.revision, Value: []byte(l.node),
	}, true
}

// granted notes a successful write that started at the given time.
func (l *lease) granted(started timekeeper.Millis, revision uint64) {
	l.observed, l.revision, l.seen = true, revision, started
	l.held, l.until = true, started+leaseSpan
}

// lost notes that another node changed the lease; it must be observed again.
func (l *lease) lost() {
	l.held, l.observed = false, false
}
