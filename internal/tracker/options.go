package tracker

import (
	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Options are the parts and settings of a Tracker.
type Options struct {
	Self   Member // own entry; Incarnation, Sequence and Health are set by the tracker
	Caller messenger.Caller
	Clock  timekeeper.Clock
	Logger *zap.Logger // nil logs nothing
	Seed   uint64      // seed of the random source; 0 takes one from the clock
	// Versions returns the highest configuration version that this node verified and the one in force. It must not
	// call the tracker. Nil means none.
	Versions func() (known, active uint64)
	// OnVersion is told the version in force at a node that pinged or was pinged. It must not block. Nil is allowed.
	OnVersion func(from Member, active uint64)
}
