package auditor

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Limits of an auditor.
const (
	// batchEntries is the largest number of entries in one object; a batch costs one platform call.
	batchEntries = 100
	// maxText bounds the free text of an entry, so that a batch stays below the platform's value limit.
	maxText = 1024
	// maxObjects is the number of batches that Prune keeps.
	maxObjects = 1000
)

// Options are the parts and limits of an Auditor.
type Options struct {
	Platform connector.Platform
	Clock    timekeeper.Clock
	Random   *rand.Rand
	Log      *zap.Logger
	Node     string // name of this node; distinguishes batches that nodes write at the same time
	Queue    int    // entries kept in memory until they are written
}

// Auditor queues entries and writes them to the platform in the background.
type Auditor struct {
	options Options
	started timekeeper.Millis
	wake    chan struct{}

	mutex   sync.Mutex
	queue   []Entry
	dropped uint64
	batches uint64
}

// New returns an auditor. Run must run for entries to be written.
func New(options Options) *Auditor {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	if options.Queue <= 0 {
		options.Queue = 1024
	}
	return &Auditor{options: options, started: options.Clock.Now(), wake: make(chan struct{}, 1)}
}

// Record queues an entry without waiting. A full queue drops the entry, and the trail states how many were dropped.
func (a *Auditor) Record(_ context.Context, entry Entry) {
	if entry.Time == 0 {
		entry.Time = a.options.Clock.Now()
	}
	entry.Actor, entry.Action = clip(entry.Actor), clip(entry.Action)
	entry.Subject, entry.Reason = clip(entry.Subject), clip(entry.Reason)
	a.mutex.Lock()
	if len(a.queue) >= a.options.Queue {
		a.dropped++
	} else {
		a.queue = append(a.queue, entry)
	}
	a.mutex.Unlock()
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Dropped returns the number of entries that were dropped and not yet reported in the trail.
func (a *Auditor) Dropped() uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.dropped
}

// Run writes queued entries until the context ends.
func (a *Auditor) Run(ctx context.Context) error {
	backoff := connector.NewBackoff(connector.BackoffBase, connector.BackoffCap, a.options.Random)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		}
		for {
			batch := a.take()
			if len(batch) == 0 {
				break
			}
			if !a.write(ctx, batch, backoff) {
				return nil
			}
		}
	}
}

// take removes the next batch from the queue.
func (a *Auditor) take() []Entry {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	count := min(len(a.queue), batchEntries)
	batch := append([]Entry(nil), a.queue[:count]...)
	a.queue = append([]Entry(nil), a.queue[count:]...)
	if a.dropped > 0 && count > 0 {
		batch = append(batch, Entry{
			Time: a.options.Clock.Now(), Actor: a.options.Node, Action: "audit", Code: classifier.CodeRateLimited,
			Reason: fmt.Sprintf("%d entries were dropped because the queue was full", a.dropped),
		})
		a.dropped = 0
	}
	return batch
}

// write stores one batch and retries until it is stored; it reports false when the context ended first.
// The batch keeps its name, so a write whose answer was lost is not stored twice.
func (a *Auditor) write(ctx context.Context, batch []Entry, backoff *connector.Backoff) bool {
	content, err := json.Marshal(batch)
	if err != nil {
		a.options.Log.Error("auditor: batch could not be encoded", zap.Error(err))
		return true
	}
	a.batches++
	object := connector.Object{
		Kind: connector.KindAudit, Value: content,
		Name: fmt.Sprintf("%013d.%s.%013d.%06d", batch[0].Time, a.options.Node, a.started, a.batches),
	}
	for {
		_, err := a.options.Platform.Put(ctx, object)
		code := classifier.CodeOf(err)
		if err == nil || code == classifier.CodeConflict {
			backoff.Reset()
			return true
		}
		if code == classifier.CodeTooLarge {
			a.options.Log.Error("auditor: batch refused by the platform", zap.Error(err))
			return true
		}
		if backoff.Wait(ctx) != nil {
			return false
		}
	}
}

// List returns the newest entries first, at most limit.
func (a *Auditor) List(ctx context.Context, limit int) ([]Entry, error) {
	snapshot, err := a.options.Platform.List(ctx, connector.KindAudit)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, limit)
	for _, object := range newestFirst(snapshot.Objects) {
		var batch []Entry
		if err := json.Unmarshal(object.Value, &batch); err != nil {
			a.options.Log.Warn("auditor: unreadable batch", zap.String("name", object.Name), zap.Error(err))
			continue
		}
		entries = append(entries, batch...)
	}
	sort.SliceStable(entries, func(i, j int) bool { return entries[i].Time > entries[j].Time })
	return entries[:min(len(entries), max(limit, 0))], nil
}

// Prune deletes the oldest batches beyond the number kept. The publisher's lease holder calls it.
func (a *Auditor) Prune(ctx context.Context) error {
	snapshot, err := a.options.Platform.List(ctx, connector.KindAudit)
	if err != nil {
		return err
	}
	objects := newestFirst(snapshot.Objects)
	for _, object := range objects[min(len(objects), maxObjects):] {
		err := a.options.Platform.Delete(ctx, object.Kind, object.Name, object.Revision)
		if code := classifier.CodeOf(err); err != nil && code != classifier.CodeObjectMissing &&
			code != classifier.CodeConflict {
			return err
		}
	}
	return nil
}

func newestFirst(objects []connector.Object) []connector.Object {
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name > objects[j].Name })
	return objects
}

func clip(text string) string {
	if len(text) > maxText {
		text = text[:maxText]
	}
	return strings.ToValidUTF8(text, "")
}
