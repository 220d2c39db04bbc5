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

// Limits of garbage collection.
const (
	keptVersions = 64
	minimumAge   = 60 * timekeeper.Minute
	prunePeriod  = 60 * timekeeper.Minute
)

// collector remembers since when each section has been unreferenced. The platform keeps no creation times, so the age
// counts from the first time that this node saw the revision unreferenced.
type collector struct {
	kept  uint64 // versions whose sections are kept
	since map[identity]timekeeper.Millis
}

func newCollector() *collector {
	return &collector{kept: keptVersions, since: make(map[identity]timekeeper.Millis)}
}

// identity is one revision of a section.
type identity struct {
	name     string
	revision uint64
}

// victims returns the sections and version records to delete. Records are those of kind status.
func (c *collector) victims(
	now timekeeper.Millis, head *Head, sections, records []connector.Object,
) []connector.Object {
	referenced := make(map[string]bool)
	for _, entry := range head.Manifest {
		referenced[entry.Digest] = true
	}
	var victims []connector.Object
	for _, record := range records {
		number, err := strconv.ParseUint(strings.TrimPrefix(record.Name, versionPrefix), 10, 64)
		if err != nil {
			continue
		}
		if number+c.kept <= head.Version {
			victims = append(victims, record)
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
	since := make(map[identity]timekeeper.Millis)
	for _, section := range sections {
		if referenced[section.Name] {
			continue
		}
		id := identity{name: section.Name, revision: section.Revision}
		first, ok := c.since[id]
		if !ok {
			first = now
		}
		since[id] = first
		if now-first >= minimumAge {
			victims = append(victims, section)
		}
	}
	c.since = since
	return victims
}

// collectLoop collects garbage while the lease is held.
func (p *Publisher) collectLoop(ctx context.Context, held *atomic.Bool) error {
	garbage := newCollector()
	pruned := p.options.Clock.Now()
	for connector.Sleep(ctx, collectPeriod) == nil {
		if !held.Load() {
			garbage = newCollector()
			continue
		}
		if err := p.collect(ctx, garbage); err != nil {
			p.options.Log.Warn("publisher: garbage collection failed", zap.Error(err))
		}
		if now := p.options.Clock.Now(); p.options.Prune != nil && now-pruned >= prunePeriod {
			pruned = now
			if err := p.options.Prune(ctx); err != nil {
				p.options.Log.Warn("publisher: pruning failed", zap.Error(err))
			}
		}
	}
	return nil
}

// collect deletes unreferenced sections and old version records. It first writes the head again, unchanged: a
// publisher that read the head earlier and relies on a section that is about to go then fails to commit.
func (p *Publisher) collect(ctx context.Context, garbage *collector) error {
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
	victims := garbage.victims(p.options.Clock.Now(), &head, sections.Objects, records.Objects)
	if len(victims) == 0 {
		return nil
	}
	if !p.off.noGuard {
		if _, err := platform.Put(ctx, object); err != nil {
			return err
		}
	}
	for _, victim := range victims {
		err := platform.Delete(ctx, victim.Kind, victim.Name, victim.Revision)
		code := classifier.CodeOf(err)
		if err != nil && code != classifier.CodeConflict && code != classifier.CodeObjectMissing {
			return err
		}
	}
	p.options.Log.Info("publisher: garbage collected", zap.Int("objects", len(victims)))
	return nil
}
