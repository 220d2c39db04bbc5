package publisher

import (
	"context"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
)

// action is a step that a cycle requests: one platform call, or finish.
type action interface{ isAction() }

type listKind struct{ kind string }

type getObject struct{ kind, name string }

type putObject struct{ object connector.Object }

type deleteObject struct{ object connector.Object }

// finish ends a cycle; err is nil when nothing remains to be done.
type finish struct{ err error }

func (listKind) isAction()     {}
func (getObject) isAction()    {}
func (putObject) isAction()    {}
func (deleteObject) isAction() {}
func (finish) isAction()       {}

// event is the start of a cycle or the reply to an action.
type event interface{ isEvent() }

type started struct{}

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

func (started) isEvent() {}
func (listed) isEvent()  {}
func (got) isEvent()     {}
func (wrote) isEvent()   {}

// perform carries out one action on the platform. It returns nil for finish.
func perform(ctx context.Context, platform connector.Platform, request action) event {
	switch request := request.(type) {
	case listKind:
		snapshot, err := platform.List(ctx, request.kind)
		return listed{snapshot: snapshot, err: err}
	case getObject:
		object, err := platform.Get(ctx, request.kind, request.name)
		return got{object: object, err: err}
	case putObject:
		revision, err := platform.Put(ctx, request.object)
		return wrote{revision: revision, err: err}
	case deleteObject:
		err := platform.Delete(ctx, request.object.Kind, request.object.Name, request.object.Revision)
		return wrote{err: err}
	}
	return nil
}
