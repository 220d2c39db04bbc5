package publisher

import (
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// maxRestarts bounds how often a cycle starts over after it lost a race for the head.
const maxRestarts = 8

// phase is the step of the publication that a cycle waits for.
type phase int

const (
	phaseIdle phase = iota
	phaseList
	phaseHead
	phaseBase
	phaseSection
	phaseTouch
	phaseStatus
	phaseRefusals
	phaseCommit
	phaseConfirm
	phaseRecord
	phaseFold
	phaseDelete
)

// cycle is one pass through the publication steps as a state machine: each step takes the reply to the last
// action and returns the next action.
type cycle struct {
	off    mechanisms
	store  *store
	active *compiler.View // view in force on this node, or nil

	phase    phase
	restarts int
	force    uint64 // revision to overwrite when the head's condition is switched off
	snapshot connector.Snapshot
	head     Head   // as read; Version 0 if there is none
	revision uint64 // of the head object
	plan     Plan
	next     Head
	bodies   map[string][]byte // sections of the next view
	wanted   []string          // digests of base sections to fetch
	sections []connector.Object
	folds    []connector.Object
	sets     []connector.Object

	committed bool   // the head holds the decisions of this cycle
	resolved  uint64 // source revision up to which nothing remains to be done; 0 if the cycle stopped early
}

func newCycle(store *store, off mechanisms) *cycle {
	return &cycle{store: store, off: off}
}

// step takes the reply to the last action and returns the next one.
func (c *cycle) step(now timekeeper.Millis, reply event) action {
	switch reply := reply.(type) {
	case begun:
		c.phase = phaseList
		return listKind{kind: connector.KindSource}
	case listed:
		return c.onListed(reply)
	case got:
		return c.onGot(now, reply)
	case wrote:
		return c.onWrote(now, reply)
	}
	return finish{}
}

func (c *cycle) onListed(reply listed) action {
	if reply.err != nil {
		return finish{err: reply.err}
	}
	c.snapshot = reply.snapshot
	c.phase = phaseHead
	return getObject{kind: connector.KindHead, name: HeadName}
}

func (c *cycle) onGot(now timekeeper.Millis, reply got) action {
	missing := classifier.CodeOf(reply.err) == classifier.CodeObjectMissing
	if reply.err != nil && !missing {
		return finish{err: reply.err}
	}
	switch c.phase {
	case phaseHead:
		return c.onHead(now, reply.object, missing)
	case phaseBase:
		return c.onBase(reply.object, missing)
	case phaseTouch:
		if !missing {
			c.sections[0].Revision = reply.object.Revision
		}
		return c.putSection()
	case phaseStatus:
		return c.putRefusals(now, reply.object)
	case phaseConfirm:
		return c.onConfirm(reply.object, missing)
	}
	return finish{}
}

func (c *cycle) onWrote(now timekeeper.Millis, reply wrote) action {
	code := classifier.CodeOf(reply.err)
	contested := code == classifier.CodeConflict || code == classifier.CodeObjectMissing
	if reply.err != nil && !contested && c.phase != phaseCommit && c.phase != phaseRecord {
		return finish{err: reply.err}
	}
	switch c.phase {
	case phaseSection:
		return c.onSection(contested)
	case phaseRefusals:
		if contested {
			return c.readStatus()
		}
		return c.afterRefusals(now)
	case phaseCommit:
		return c.onCommit(reply.err, contested)
	case phaseRecord:
		return c.fold() // the record only serves later comparisons of versions
	case phaseFold:
		c.folds = c.folds[1:] // contested: another publisher folded this source
		return c.fold()
	case phaseDelete:
		c.sets = c.sets[1:]
		return c.fold()
	}
	return finish{}
}

// onHead resolves the snapshot against the head.
func (c *cycle) onHead(now timekeeper.Millis, object connector.Object, missing bool) action {
	c.head, c.revision, c.resolved = Head{}, 0, 0
	if !missing {
		head, err := DecodeHead(object.Value)
		if err != nil {
			return finish{err: err}
		}
		c.head, c.revision = head, object.Revision
	}
	if missing && len(c.snapshot.Objects) == 0 {
		return finish{}
	}
	if c.head.SourceRevision >= c.snapshot.Revision && !c.off.noFence {
		return finish{}
	}
	c.resolved = c.snapshot.Revision
	c.plan = resolve(c.snapshot, c.head.Operations, c.store.cache, c.off)
	if len(c.plan.Problems) > 0 {
		refusal := problemRefusal(c.plan.Problems[0].Code, c.plan.Problems)
		c.plan.refused = append(c.plan.refused, refusal)
	}
	c.folds, c.sets, c.sections, c.wanted = c.plan.folds, c.plan.sets, nil, nil
	if !c.changed() {
		return c.readStatus()
	}
	return c.prepare(now)
}

// changed reports whether the plan leads to a new version.
func (c *cycle) changed() bool {
	if len(c.plan.Problems) > 0 && !c.off.noCompile {
		return false
	}
	return c.head.Version == 0 || c.plan.View.Digest != c.head.Digest
}

// prepare lists the sections to create and the base sections that the delta needs.
func (c *cycle) prepare(now timekeeper.Millis) action {
	manifest, bodies, err := compiler.Sections(&c.plan.View)
	if err != nil {
		return finish{err: err}
	}
	c.bodies = bodies
	c.storeActive()
	published := make(map[string]bool, len(c.head.Manifest))
	for _, entry := range c.head.Manifest {
		published[entry.Digest] = true
		if bodies[entry.Digest] == nil && c.store.get(entry.Digest) == nil {
			c.wanted = append(c.wanted, entry.Digest)
		}
	}
	for _, entry := range manifest {
		c.store.put(entry.Digest, bodies[entry.Digest])
		if !published[entry.Digest] {
			c.sections = append(c.sections, connector.Object{
				Kind: connector.KindSection, Name: entry.Digest, Value: bodies[entry.Digest],
			})
		}
	}
	c.next.Manifest, c.next.Digest = manifest, c.plan.View.Digest
	c.next.Published = now
	return c.fetchBase()
}

// storeActive keeps the sections of the view in force if that is the published one, so that none are fetched.
func (c *cycle) storeActive() {
	if c.active == nil || c.head.Version == 0 || c.active.Digest != c.head.Digest {
		return
	}
	manifest, bodies, err := compiler.Sections(c.active)
	if err != nil || compiler.ManifestDigest(manifest) != c.head.Digest {
		return
	}
	for _, entry := range manifest {
		c.store.put(entry.Digest, bodies[entry.Digest])
	}
}

func (c *cycle) fetchBase() action {
	if len(c.wanted) == 0 {
		return c.putSection()
	}
	c.phase = phaseBase
	return getObject{kind: connector.KindSection, name: c.wanted[0]}
}

// onBase keeps a base section. A missing one only means that the head is written without a delta.
func (c *cycle) onBase(object connector.Object, missing bool) action {
	if !missing && compiler.DigestOf(object.Value) == c.wanted[0] {
		c.store.put(c.wanted[0], object.Value)
	}
	c.wanted = c.wanted[1:]
	return c.fetchBase()
}

func (c *cycle) putSection() action {
	if len(c.sections) == 0 {
		return c.readStatus()
	}
	c.phase = phaseSection
	return putObject{object: c.sections[0]}
}

// onSection continues with the next section. One that exists is written again with its own value, so that a
// conditional deletion by the garbage collector, which saw the old revision, cannot remove it.
func (c *cycle) onSection(contested bool) action {
	if contested && !c.off.noTouch {
		c.phase = phaseTouch
		c.sections[0].Revision = 0
		return getObject{kind: connector.KindSection, name: c.sections[0].Name}
	}
	c.sections = c.sections[1:]
	return c.putSection()
}

func (c *cycle) readStatus() action {
	if len(c.plan.refused) == 0 {
		return c.commit()
	}
	c.phase = phaseStatus
	return getObject{kind: connector.KindStatus, name: refusalsName}
}

// putRefusals writes the refusals' details before the head makes the refusals final.
func (c *cycle) putRefusals(now timekeeper.Millis, object connector.Object) action {
	for i := range c.plan.refused {
		c.plan.refused[i].Time, c.plan.refused[i].Revision = now, c.snapshot.Revision
	}
	content, err := mergeRefusals(object.Value, c.plan.refused)
	if err != nil {
		return finish{err: err}
	}
	c.phase = phaseRefusals
	return putObject{object: connector.Object{
		Kind: connector.KindStatus, Name: refusalsName, Revision: object.Revision, Value: content,
	}}
}

// afterRefusals commits to the head. Without any version yet, refused sets are only deleted.
func (c *cycle) afterRefusals(_ timekeeper.Millis) action {
	if c.head.Version == 0 && !c.changed() {
		c.folds = nil
		return c.fold()
	}
	return c.commit()
}
