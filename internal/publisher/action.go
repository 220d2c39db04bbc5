package publisher

import (
	"context"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
)

// action is what a state machine asks for: one platform call, or the end.
type action interface{ isAction() }

type listKind struct{ kind string }

type getObject struct{ kind, name string }

type putObject struct{ object connector.Object }

type deleteObject struct{ object connector.Object }

// finish ends a machine; err is nil when nothing remains to be done.
type finish struct{ err error }

func (listKind) isAction()     {}
func (getObject) isAction()    {}
func (putObject) isAction()    {}
func (deleteObject) isAction() {}
func (finish) isAction()       {}

// event is the reply to an action.
type event interface{ isEvent() }

type begun struct{}

type listed struct {
	snapshot connector.Snapshot
	err      error
}

type got struct {
	object connector.Object
	err    error
}

type wrote struct {
	revision uint64
	err      error
}

func (begun) isEvent()  {}
func (listed) isEvent() {}
func (got) isEvent()    {}
func (wrote) isEvent()  {}

// perform carries out one action on the platform. It returns nil for a finish.
func perform(ctx context.Context, platform connector.Platform, wanted action) event {
	switch wanted := wanted.(type) {
	case listKind:
		snapshot, err := platform.List(ctx, wanted.kind)
		return listed{snapshot: snapshot, err: err}
	case getObject:
		object, err := platform.Get(ctx, wanted.kind, wanted.name)
		return got{object: object, err: err}
	case putObject:
		revision, err := platform.Put(ctx, wanted.object)
		return wrote{revision: revision, err: err}
	case deleteObject:
		err := platform.Delete(ctx, wanted.object.Kind, wanted.object.Name, wanted.object.Revision)
		return wrote{err: err}
	}
	return nil
}
