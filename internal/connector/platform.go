// Package connector talks to the platform's object API.
package connector

import (
	"context"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// MaxValueBytes is the largest value that the platform takes.
const MaxValueBytes = 1 << 20

// Platform is the object API. Every method returns a *classifier.Error with a 5xx code on failure.
type Platform interface {
	// Get returns one object, or CodeObjectMissing.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind as of one revision.
	List(ctx context.Context, kind string) (Snapshot, error)
	// Put writes an object and returns its new revision. Revision 0 creates it; any other must be the current one.
	Put(ctx context.Context, object Object) (uint64, error)
	// Delete removes an object that has the given revision.
	Delete(ctx context.Context, kind, name string, revision uint64) error
	// Watch returns the changes of a kind after a revision, or none when wait passes without one.
	Watch(ctx context.Context, kind string, after uint64, wait timekeeper.Millis) (Snapshot, error)
}
