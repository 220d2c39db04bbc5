package tracker

import (
	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Options holds the dependencies and settings of a Tracker.
type Options struct {
	Self   Member // the node's own entry; the tracker sets Incarnation, Sequence and Health
	Caller messenger.Caller
	Clock  timekeeper.Clock
	Logger *zap.Logger // nil disables logging
	Seed   uint64      // seed of the random source; 0 uses the current time
	// Versions returns the highest configuration version that this node has verified and the active version. It must
	// not call the tracker. If nil, the tracker does not update them.
	Versions func() (known, active uint64)
	// OnVersion is called with the active version of a node that sent a ping or replied to one. It must not block. Nil
	// is allowed.
	OnVersion func(from Member, active uint64)
}
