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

const (
	// maxBatchEntries is the largest number of queued entries in one object. Each batch is written in one platform call.
	maxBatchEntries = 50
	// maxTextBytes bounds each text field of an entry. JSON may encode one byte as 6, so a batch of 50 entries with 4
	// texts of 512 bytes has at most 614 KB and stays below the value limit of the platform.
	maxTextBytes = 512
	// maxBatches is the number of newest batches that Prune keeps.
	maxBatches = 1000
)

// Options are the dependencies and limits of an Auditor.
type Options struct {
	Platform connector.Platform
	Clock    timekeeper.Clock
	Random   *rand.Rand // must not be shared with other components
	Log      *zap.Logger
	Node     string // name of this node; distinguishes batches that nodes write at the same time
	Queue    int    // maximum number of entries that wait in memory; 1024 if not positive
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

// Record queues an entry without blocking. If the queue is full, it drops the entry, and a later batch reports the
// number of dropped entries.
func (a *Auditor) Record(_ context.Context, entry Entry) {
	if entry.Time == 0 {
		entry.Time = a.options.Clock.Now()
	}
	entry.Actor, entry.Action = truncate(entry.Actor), truncate(entry.Action)
	entry.Subject, entry.Reason = truncate(entry.Subject), truncate(entry.Reason)
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

// Dropped returns the number of dropped entries that the trail does not report yet.
func (a *Auditor) Dropped() uint64 {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	return a.dropped
}

// Run writes queued entries until the context ends. It returns nil.
func (a *Auditor) Run(ctx context.Context) error {
	backoff := connector.NewBackoff(connector.BackoffBase, connector.BackoffCap, a.options.Random)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		}
		for {
			batch := a.takeBatch()
			if len(batch) == 0 {
				break
			}
			if !a.writeBatch(ctx, batch, backoff) {
				return nil
			}
		}
	}
}

// takeBatch removes the next batch from the queue. It adds an entry that reports dropped entries, if there are any.
func (a *Auditor) takeBatch() []Entry {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	count := min(len(a.queue), maxBatchEntries)
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

// writeBatch stores a batch with retries. It reports false if the context ends first. Retries use the same object name,
// so a batch is not stored twice if the reply to a successful write is lost. A batch that cannot be encoded, or that
// the platform refuses as too large, is dropped with an error in the log.
func (a *Auditor) writeBatch(ctx context.Context, batch []Entry, backoff *connector.Backoff) bool {
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

// List returns at most limit entries, newest first.
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

// Prune deletes the oldest batches beyond maxBatches. The node that holds the publisher lease calls it.
func (a *Auditor) Prune(ctx context.Context) error {
	snapshot, err := a.options.Platform.List(ctx, connector.KindAudit)
	if err != nil {
		return err
	}
	objects := newestFirst(snapshot.Objects)
	for _, object := range objects[min(len(objects), maxBatches):] {
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

// truncate cuts text to maxTextBytes and removes invalid UTF-8.
func truncate(text string) string {
	if len(text) > maxTextBytes {
		text = text[:maxTextBytes]
	}
	return strings.ToValidUTF8(text, "")
}
