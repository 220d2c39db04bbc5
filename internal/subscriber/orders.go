package subscriber

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// OrderOptions describe the objects of a further kind that are distributed with the configuration: orders of the
// operator, each with a status that nodes write.
type OrderOptions struct {
	Kind string
	// OnChange receives all orders after each change, also removed ones. It must not block.
	OnChange func([]connector.Object)
}

const (
	// maxOrders bounds the orders that a node keeps, removed ones included.
	maxOrders = 1024
	// ordersPoll is how often a node checks whether it has to watch the orders itself, in ms. It does so only if it
	// follows the platform at two checks in a row: nodes that start do so until they know their relays.
	ordersPoll = 500 * timekeeper.Millis(1)
)

// orders is the set of orders on one node. An order never returns to an older revision within an era of the platform.
type orders struct {
	options  OrderOptions
	mutex    sync.Mutex
	era      uint64
	revision uint64 // highest one of a change
	objects  map[string]connector.Object
	loaded   atomic.Bool
	listed   uint64 // revision of the platform up to which the node has read the orders itself; 0 for none
}

func newOrders(options *OrderOptions) *orders {
	if options == nil {
		return nil
	}
	return &orders{options: *options, objects: make(map[string]connector.Object)}
}

// ready reports whether the orders are known, or the node has none.
func (o *orders) ready() bool {
	return o == nil || o.loaded.Load()
}

// position returns the era and the highest revision of the known orders.
func (o *orders) position() (era, revision uint64) {
	if o == nil {
		return 0, 0
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.era, o.revision
}

// newer reports whether the known orders are newer than those at a position.
func (o *orders) newer(era, revision uint64) bool {
	ownEra, ownRevision := o.position()
	return o.ready() && (ownEra > era || ownEra == era && ownRevision > revision)
}

// merge stores orders that are newer than the known ones, and reports whether there were any. Orders of a later era
// replace all of an earlier one. With complete, orders that are missing are removed.
func (o *orders) merge(era, revision uint64, objects []connector.Object, complete bool) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if era < o.era {
		return false
	}
	changed := era > o.era && len(o.objects) > 0
	if era > o.era {
		o.era, o.revision, o.objects = era, 0, make(map[string]connector.Object)
	}
	for _, object := range objects {
		known, ok := o.objects[object.Name]
		if ok && known.Revision >= object.Revision || !ok && len(o.objects) >= maxOrders {
			continue
		}
		if object.Deleted && len(object.Value) == 0 {
			object.Value, object.Status = known.Value, known.Status // nodes must know what was removed
		}
		o.store(object)
		changed = true
	}
	if complete && o.removeMissing(revision, objects) {
		changed = true
	}
	return !o.loaded.Swap(true) || changed
}

// removeMissing marks the orders that a complete list lacks as removed, and reports whether there were any. The caller
// holds the lock.
func (o *orders) removeMissing(revision uint64, objects []connector.Object) bool {
	listed := make(map[string]bool, len(objects))
	for _, object := range objects {
		listed[object.Name] = true
	}
	removed := false
	for name, known := range o.objects {
		if !listed[name] && !known.Deleted && known.Revision < revision {
			known.Era, known.Revision, known.Deleted = o.era, revision, true
			o.store(known)
			removed = true
		}
	}
	return removed
}

func (o *orders) store(object connector.Object) {
	o.objects[object.Name] = object
	o.revision = max(o.revision, object.Revision)
}

// list returns the orders, sorted by name.
func (o *orders) list() []connector.Object {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return slices.SortedFunc(maps.Values(o.objects), func(a, b connector.Object) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
}

// mergeOrders stores orders, and notifies the nodes that wait here.
func (s *Subscriber) mergeOrders(era, revision uint64, objects []connector.Object, complete bool) {
	if !s.orders.merge(era, revision, objects, complete) {
		return
	}
	s.mutex.Lock()
	close(s.changed)
	s.changed = make(chan struct{})
	s.mutex.Unlock()
	s.orders.options.OnChange(s.orders.list())
}

// listOrders reads all orders and returns the revision of the platform.
func (s *Subscriber) listOrders(ctx context.Context) (uint64, error) {
	snapshot, err := s.options.Platform.List(ctx, s.orders.options.Kind)
	if err != nil {
		return 0, err
	}
	s.mergeOrders(snapshot.Era, snapshot.Revision, snapshot.Objects, true)
	s.orders.setListed(snapshot.Revision)
	return snapshot.Revision, nil
}

func (o *orders) setListed(revision uint64) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.listed = revision
}

func (o *orders) listedRevision() uint64 {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return o.listed
}

// followOrders watches the orders on the platform while this node follows the platform itself. Otherwise they come with
// the replies of the relay.
func (s *Subscriber) followOrders(ctx context.Context) {
	backoff := connector.NewBackoff(backoffBase, backoffCap, rand.New(rand.NewPCG(rand.Uint64(), 0)))
	for before := false; ctx.Err() == nil; {
		direct := s.direct.Load()
		if !direct || !before {
			before = direct
			_ = connector.Sleep(ctx, ordersPoll)
			continue
		}
		if err := s.watchOrders(ctx, backoff); err != nil && ctx.Err() == nil {
			s.orders.setListed(0)
			s.options.Logger.Info("orders not available", zap.Error(err))
			_ = connector.Sleep(ctx, backoff.Next())
		}
	}
}

// watchOrders watches the orders, after it has listed them if need be, until a call fails, the platform was restored or
// this node waits at a relay.
func (s *Subscriber) watchOrders(ctx context.Context, backoff *connector.Backoff) error {
	revision := s.orders.listedRevision()
	if revision == 0 {
		var err error
		if revision, err = s.listOrders(ctx); err != nil {
			return err
		}
	}
	for era, _ := s.orders.position(); s.direct.Load() && ctx.Err() == nil; {
		snapshot, err := s.options.Platform.Watch(ctx, s.orders.options.Kind, revision, s.timing.orderWait)
		if err != nil {
			return err
		}
		if snapshot.Era != era {
			s.orders.setListed(0)
			return nil
		}
		backoff.Reset()
		revision = max(revision, snapshot.Revision)
		s.orders.setListed(revision)
		s.mergeOrders(snapshot.Era, snapshot.Revision, snapshot.Objects, false)
	}
	return nil
}
