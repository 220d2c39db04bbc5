// Package faker provides fakes of external systems (platform, network, upstream) for tests and benchmarks only.
package faker

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Platform is an in-memory object API. It implements connector.Platform and can inject faults.
type Platform struct {
	mutex    sync.Mutex
	revision uint64
	objects  map[string]map[string]connector.Object // by kind and name; deleted ones stay as tombstones
	changed  chan struct{}                          // closed at the next write or deletion
	fault    func(Operation) Fault                  // nil for no faults
	calls    map[string]int                         // calls so far, by method and kind
	era      uint64                                 // 1 more with each Restore
	recorded bool                                   // writes are recorded
	writes   []write                                // all writes of the current history, oldest first
}

// write records a write for Restore.
type write struct {
	at     time.Time
	object connector.Object
}

// Operation describes a call that a fault function decides on.
type Operation struct {
	Method string // get, list, put, status, delete or watch
	Kind   string
	Name   string
}

// Fault describes how a call fails. The zero value is no fault.
type Fault struct {
	Refuse bool              // fails before it takes effect
	Lose   bool              // takes effect, then its response is lost
	Delay  timekeeper.Millis // passes before the call takes effect or fails
}

// NewPlatform returns an empty platform.
func NewPlatform() *Platform {
	return &Platform{
		objects: make(map[string]map[string]connector.Object),
		changed: make(chan struct{}),
		calls:   make(map[string]int),
		era:     1,
	}
}

// Era returns how often the platform was restored, plus 1.
func (p *Platform) Era() uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.era
}

// RecordWrites keeps all writes from now on, which Restore needs. Call it on an empty platform.
func (p *Platform) RecordWrites() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.recorded = true
}

// Restore returns the platform to its state at an earlier time. Later writes are lost, and their revisions are given
// out again.
func (p *Platform) Restore(at time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	kept := p.writes
	for len(kept) > 0 && kept[len(kept)-1].at.After(at) {
		kept = kept[:len(kept)-1]
	}
	p.era++
	p.revision, p.writes = 0, nil
	p.objects = make(map[string]map[string]connector.Object)
	for _, w := range kept {
		p.store(w.object)
		p.writes[len(p.writes)-1].at = w.at
	}
}

// SetFault sets the function that returns the fault of each call; nil removes it.
func (p *Platform) SetFault(fault func(Operation) Fault) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.fault = fault
}

// Calls returns the number of calls so far by method.
func (p *Platform) Calls() map[string]int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	calls := make(map[string]int)
	for key, count := range p.calls {
		method, _, _ := strings.Cut(key, " ")
		calls[method] += count
	}
	return calls
}

// KindCalls returns the number of calls so far by method and kind, such as "list head".
func (p *Platform) KindCalls() map[string]int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return maps.Clone(p.calls)
}

// Store writes an object without checking its revision. Faults do not affect it, as it stands for an operator's write.
func (p *Platform) Store(object connector.Object) error {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(object.Value) > connector.MaxValueBytes {
		return classifier.New(classifier.CodeTooLarge, object.Kind+"/"+object.Name, "%d bytes", len(object.Value))
	}
	p.store(object)
	return nil
}

// Get implements connector.Platform.
func (p *Platform) Get(ctx context.Context, kind, name string) (connector.Object, error) {
	var object connector.Object
	err := p.runCall(ctx, Operation{Method: "get", Kind: kind, Name: name}, func() error {
		found, ok := p.objects[kind][name]
		if !ok || found.Deleted {
			return classifier.New(classifier.CodeObjectMissing, kind+"/"+name, "object does not exist")
		}
		object = found
		return nil
	})
	return object, err
}

// List implements connector.Platform.
func (p *Platform) List(ctx context.Context, kind string) (connector.Snapshot, error) {
	var snapshot connector.Snapshot
	err := p.runCall(ctx, Operation{Method: "list", Kind: kind}, func() error {
		snapshot = p.changesAfter(kind, 0, false)
		return nil
	})
	return snapshot, err
}

// Put implements connector.Platform.
func (p *Platform) Put(ctx context.Context, object connector.Object) (uint64, error) {
	var revision uint64
	err := p.runCall(ctx, Operation{Method: "put", Kind: object.Kind, Name: object.Name}, func() error {
		if len(object.Value) > connector.MaxValueBytes {
			return classifier.New(classifier.CodeTooLarge, object.Kind+"/"+object.Name, "value has %d bytes", len(object.Value))
		}
		if err := p.checkRevision(object.Kind, object.Name, object.Revision); err != nil {
			return err
		}
		status := p.objects[object.Kind][object.Name].Status
		revision = p.store(connector.Object{Kind: object.Kind, Name: object.Name, Value: object.Value, Status: status})
		return nil
	})
	return revision, err
}

// PutStatus implements connector.StatusWriter.
func (p *Platform) PutStatus(ctx context.Context, object connector.Object) (uint64, error) {
	var revision uint64
	err := p.runCall(ctx, Operation{Method: "status", Kind: object.Kind, Name: object.Name}, func() error {
		if err := p.checkRevision(object.Kind, object.Name, object.Revision); err != nil {
			return err
		}
		found := p.objects[object.Kind][object.Name]
		found.Status = object.Status
		revision = p.store(found)
		return nil
	})
	return revision, err
}

// Delete implements connector.Platform.
func (p *Platform) Delete(ctx context.Context, kind, name string, revision uint64) error {
	return p.runCall(ctx, Operation{Method: "delete", Kind: kind, Name: name}, func() error {
		if revision == 0 {
			return classifier.New(classifier.CodeConflict, kind+"/"+name, "a revision is required")
		}
		if err := p.checkRevision(kind, name, revision); err != nil {
			return err
		}
		p.store(connector.Object{Kind: kind, Name: name, Deleted: true})
		return nil
	})
}

// Watch implements connector.Platform. A watch that waits ends with an error when the platform is restored, since
// another process then serves the copy.
func (p *Platform) Watch(
	ctx context.Context, kind string, after uint64, wait timekeeper.Millis,
) (connector.Snapshot, error) {
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	var era uint64
	for first := true; ; first = false {
		var snapshot connector.Snapshot
		var changed chan struct{}
		read := func() error {
			if era != 0 && era != p.era {
				return classifier.New(classifier.CodeUnavailable, kind, "the platform was restored from a copy")
			}
			era = p.era
			if after > p.revision {
				return classifier.New(classifier.CodeAnswerGone, kind, "revision %d does not exist", after)
			}
			snapshot, changed = p.changesAfter(kind, after, true), p.changed
			return nil
		}
		if err := p.runWatchStep(ctx, kind, first, read); err != nil {
			return connector.Snapshot{}, err
		}
		if len(snapshot.Objects) > 0 {
			return snapshot, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return snapshot, nil
		case <-ctx.Done():
			return connector.Snapshot{}, classifier.Wrap(classifier.CodeUnavailable, kind, ctx.Err())
		}
	}
}

// runWatchStep runs one step of a watch. Only the first step counts as a call.
func (p *Platform) runWatchStep(ctx context.Context, kind string, first bool, step func() error) error {
	if first {
		return p.runCall(ctx, Operation{Method: "watch", Kind: kind}, step)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.fault != nil && p.fault(Operation{Method: "watch", Kind: kind}).Refuse {
		return classifier.New(classifier.CodeUnavailable, kind, "platform is down")
	}
	return step()
}

func (p *Platform) runCall(ctx context.Context, operation Operation, apply func() error) error {
	subject := operation.Kind + "/" + operation.Name
	fault := p.countCall(operation)
	if fault.Delay > 0 {
		timer := time.NewTimer(fault.Delay.Duration())
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return classifier.Wrap(classifier.CodeUnavailable, subject, ctx.Err())
		}
	}
	if fault.Refuse {
		return classifier.New(classifier.CodeUnavailable, subject, "platform is down")
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	err := apply()
	if fault.Lose {
		return classifier.New(classifier.CodeUnavailable, subject, "the response was lost")
	}
	return err
}

func (p *Platform) countCall(operation Operation) Fault {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.calls[operation.Method+" "+operation.Kind]++
	if p.fault == nil {
		return Fault{}
	}
	return p.fault(operation)
}

func (p *Platform) checkRevision(kind, name string, revision uint64) error {
	current := uint64(0)
	if found, ok := p.objects[kind][name]; ok && !found.Deleted {
		current = found.Revision
	}
	if current != revision {
		return classifier.New(classifier.CodeConflict, kind+"/"+name, "revision is %d, not %d", current, revision)
	}
	return nil
}

func (p *Platform) store(object connector.Object) uint64 {
	p.revision++
	object.Revision = p.revision
	if p.objects[object.Kind] == nil {
		p.objects[object.Kind] = make(map[string]connector.Object)
	}
	p.objects[object.Kind][object.Name] = object
	if p.recorded {
		p.writes = append(p.writes, write{time.Now(), object})
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return p.revision
}

func (p *Platform) changesAfter(kind string, after uint64, includeDeleted bool) connector.Snapshot {
	snapshot := connector.Snapshot{Era: p.era, Revision: p.revision, Objects: []connector.Object{}}
	for _, object := range p.objects[kind] {
		if object.Revision > after && (includeDeleted || !object.Deleted) {
			snapshot.Objects = append(snapshot.Objects, object)
		}
	}
	sort.Slice(snapshot.Objects, func(i, j int) bool {
		return snapshot.Objects[i].Revision < snapshot.Objects[j].Revision
	})
	return snapshot
}
