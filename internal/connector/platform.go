// Package connector is the client of the platform's object API.
package connector

import (
	"context"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// MaxValueBytes is the size of the largest value that the platform accepts.
const MaxValueBytes = 1 << 20

// Platform is the object API. Every method returns a *classifier.Error with a 5xx code on failure.
type Platform interface {
	// Get returns one object, or an error with CodeObjectMissing.
	Get(ctx context.Context, kind, name string) (Object, error)
	// List returns all objects of a kind as of one revision.
	List(ctx context.Context, kind string) (Snapshot, error)
	// Put writes an object and returns its new revision. Revision 0 creates the object; any other
	// revision must be the current one.
	Put(ctx context.Context, object Object) (uint64, error)
	// Delete removes an object, whose current revision must be the given one.
	Delete(ctx context.Context, kind, name string, revision uint64) error
	// Watch returns the changes of a kind after a revision, or none if wait passes without a change.
	Watch(ctx context.Context, kind string, after uint64, wait timekeeper.Millis) (Snapshot, error)
}

// StatusWriter is implemented by platforms whose objects have a status beside the value, which only operators write.
type StatusWriter interface {
	// PutStatus writes the status of an object, whose current revision must be that of the given one, and returns its new
	// revision.
	PutStatus(ctx context.Context, object Object) (uint64, error)
}
