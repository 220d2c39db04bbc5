package publisher

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Limits and intervals of garbage collection.
const (
	keptVersions  = 64
	minGarbageAge = 60 * timekeeper.Minute
	pruneInterval = 60 * timekeeper.Minute
)

// garbageCollector tracks how long each section has been unreferenced. The platform stores no creation times, so the
// age counts from the first time that this node saw the revision unreferenced.
type garbageCollector struct {
	keepVersions      uint64 // number of latest versions whose records and sections are kept
	unreferencedSince map[sectionRevision]timekeeper.Millis
}

func newGarbageCollector() *garbageCollector {
	return &garbageCollector{keepVersions: keptVersions, unreferencedSince: make(map[sectionRevision]timekeeper.Millis)}
}

// sectionRevision identifies one revision of a section.
type sectionRevision struct {
	name     string
	revision uint64
}

// garbage returns the sections and version records to delete. The records parameter holds all objects of kind status.
func (c *garbageCollector) garbage(
	now timekeeper.Millis, head *Head, sections, records []connector.Object,
) []connector.Object {
	referenced := make(map[string]bool)
	for _, entry := range head.Manifest {
		referenced[entry.Digest] = true
	}
	var garbage []connector.Object
	for _, record := range records {
		number, err := strconv.ParseUint(strings.TrimPrefix(record.Name, versionPrefix), 10, 64)
		if err != nil {
			continue
		}
		if number+c.keepVersions <= head.Version {
			garbage = append(garbage, record)
			continue
		}
		version, err := DecodeHead(record.Value)
		if err != nil {
			continue
		}
		for _, entry := range version.Manifest {
			referenced[entry.Digest] = true
		}
	}
	unreferencedSince := make(map[sectionRevision]timekeeper.Millis)
	for _, section := range sections {
		if referenced[section.Name] {
			continue
		}
		id := sectionRevision{name: section.Name, revision: section.Revision}
		firstSeen, ok := c.unreferencedSince[id]
		if !ok {
			firstSeen = now
		}
		unreferencedSince[id] = firstSeen
		if now-firstSeen >= minGarbageAge {
			garbage = append(garbage, section)
		}
	}
	c.unreferencedSince = unreferencedSince
	return garbage
}

// collectLoop collects garbage and prunes while the lease is held.
func (p *Publisher) collectLoop(ctx context.Context, held *atomic.Bool) error {
	collector := newGarbageCollector()
	lastPruned := p.options.Clock.Now()
	for connector.Sleep(ctx, collectInterval) == nil {
		if !held.Load() {
			collector = newGarbageCollector()
			continue
		}
		if err := p.collect(ctx, collector); err != nil {
			p.options.Log.Warn("publisher: garbage collection failed", zap.Error(err))
		}
		if now := p.options.Clock.Now(); p.options.Prune != nil && now-lastPruned >= pruneInterval {
			lastPruned = now
			if err := p.options.Prune(ctx); err != nil {
				p.options.Log.Warn("publisher: pruning failed", zap.Error(err))
			}
		}
	}
	return nil
}

// collect deletes unreferenced sections and old version records. It first rewrites the head unchanged, which
// raises its revision: a publisher that read the head earlier and relies on one of the sections then fails to commit.
func (p *Publisher) collect(ctx context.Context, collector *garbageCollector) error {
	platform := p.options.Platform
	sections, err := platform.List(ctx, connector.KindSection)
	if err != nil {
		return err
	}
	records, err := platform.List(ctx, connector.KindStatus)
	if err != nil {
		return err
	}
	object, err := platform.Get(ctx, connector.KindHead, HeadName)
	if err != nil {
		return err
	}
	head, err := DecodeHead(object.Value)
	if err != nil {
		return err
	}
	garbage := collector.garbage(p.options.Clock.Now(), &head, sections.Objects, records.Objects)
	if len(garbage) == 0 {
		return nil
	}
	if !p.disabled.headRewrite {
		if _, err := platform.Put(ctx, object); err != nil {
			return err
		}
	}
	for _, item := range garbage {
		err := platform.Delete(ctx, item.Kind, item.Name, item.Revision)
		code := classifier.CodeOf(err)
		if err != nil && code != classifier.CodeConflict && code != classifier.CodeObjectMissing {
			return err
		}
	}
	p.options.Log.Info("publisher: garbage collected", zap.Int("objects", len(garbage)))
	return nil
}
