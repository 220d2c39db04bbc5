package publisher

import (
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// maxRestarts limits how often a cycle restarts because another publisher changed the head.
const maxRestarts = 8

// phase is the publication step whose reply a cycle waits for.
type phase int

const (
	phaseIdle phase = iota
	phaseList
	phaseHead
	phaseBase
	phaseSection
	phaseRewrite
	phaseStatus
	phaseRefusals
	phaseCommit
	phaseConfirm
	phaseRecord
	phaseFold
	phaseDelete
)

// cycle is one pass through the publication steps. It is a state machine without I/O: step takes the reply to the last
// action and returns the next action.
type cycle struct {
	disabled safeguards
	store    *store
	active   *compiler.View // active view of this node, or nil
	newest   uint64         // highest version that any node is known to have

	phase             phase
	restarts          int
	overwriteRevision uint64 // head revision to overwrite if safeguards.conditionalHead is disabled
	snapshot          connector.Snapshot
	head              Head   // as read; Version 0 if there is none
	headRevision      uint64 // of the head object; 0 if there is none
	plan              Plan
	next              Head
	bodies            map[string][]byte  // section bodies of the next view by digest
	baseDigests       []string           // digests of base sections to fetch
	sections          []connector.Object // sections still to create
	folds             []connector.Object // sources still to fold
	sets              []connector.Object // decided sets still to delete

	committed        bool   // the head holds the decisions of this cycle
	resolvedRevision uint64 // source revision up to which nothing remains to be done; 0 if the cycle stopped early
}

func newCycle(store *store, disabled safeguards) *cycle {
	return &cycle{store: store, disabled: disabled}
}

// step takes the reply to the last action and returns the next one.
func (c *cycle) step(now timekeeper.Millis, reply event) action {
	switch reply := reply.(type) {
	case started:
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
	case phaseRewrite:
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
	conflict := code == classifier.CodeConflict || code == classifier.CodeObjectMissing
	if reply.err != nil && !conflict && c.phase != phaseCommit && c.phase != phaseRecord {
		return finish{err: reply.err}
	}
	switch c.phase {
	case phaseSection:
		return c.onSection(conflict)
	case phaseRefusals:
		if conflict {
			return c.readStatus()
		}
		return c.afterRefusals(now)
	case phaseCommit:
		return c.onCommit(reply.err, conflict)
	case phaseRecord:
		return c.fold() // errors are ignored, the record only serves to compare versions later
	case phaseFold:
		c.folds = c.folds[1:] // on a conflict, another publisher has folded this source
		return c.fold()
	case phaseDelete:
		c.sets = c.sets[1:]
		return c.fold()
	}
	return finish{}
}

// onHead resolves the snapshot against the head.
func (c *cycle) onHead(now timekeeper.Millis, object connector.Object, missing bool) action {
	c.head, c.headRevision, c.resolvedRevision = Head{}, 0, 0
	if !missing {
		head, err := DecodeHead(object.Value)
		if err != nil {
			return finish{err: err}
		}
		c.head, c.headRevision = head, object.Revision
	}
	if missing && len(c.snapshot.Objects) == 0 {
		return finish{}
	}
	if c.head.SourceRevision >= c.snapshot.Revision && !c.disabled.fence {
		return finish{}
	}
	c.resolvedRevision = c.snapshot.Revision
	c.plan = resolve(c.snapshot, c.head.Operations, c.store.cache, c.disabled)
	if len(c.plan.Problems) > 0 {
		refusal := problemRefusal(c.plan.Problems[0].Code, c.plan.Problems)
		c.plan.refused = append(c.plan.refused, refusal)
	}
	c.folds, c.sets, c.sections, c.baseDigests = c.plan.folds, c.plan.sets, nil, nil
	if !c.createsVersion() {
		return c.readStatus()
	}
	return c.prepareSections(now)
}

// createsVersion reports whether the plan leads to a new version.
func (c *cycle) createsVersion() bool {
	if len(c.plan.Problems) > 0 && !c.disabled.compilation {
		return false
	}
	return c.head.Version == 0 || c.plan.View.Digest != c.head.Digest
}

// prepareSections lists the sections to create and the base sections to fetch for the delta.
func (c *cycle) prepareSections(now timekeeper.Millis) action {
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
			c.baseDigests = append(c.baseDigests, entry.Digest)
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

// storeActive stores the sections of the active view if that is the published one, so that they need not be fetched.
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
	if len(c.baseDigests) == 0 {
		return c.putSection()
	}
	c.phase = phaseBase
	return getObject{kind: connector.KindSection, name: c.baseDigests[0]}
}

// onBase stores a fetched base section. If a section is missing, the head is written without a delta.
func (c *cycle) onBase(object connector.Object, missing bool) action {
	if !missing && compiler.DigestOf(object.Value) == c.baseDigests[0] {
		c.store.put(c.baseDigests[0], object.Value)
	}
	c.baseDigests = c.baseDigests[1:]
	return c.fetchBase()
}

func (c *cycle) putSection() action {
	if len(c.sections) == 0 {
		return c.readStatus()
	}
	c.phase = phaseSection
	return putObject{object: c.sections[0]}
}

// onSection continues with the next section. An existing section is first rewritten unchanged, which raises its
// revision, so that a garbage collector that read the old revision cannot delete it.
func (c *cycle) onSection(conflict bool) action {
	if conflict && !c.disabled.sectionRewrite {
		c.phase = phaseRewrite
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

// putRefusals writes the details of the refusals before the write of the head makes the refusals final.
func (c *cycle) putRefusals(now timekeeper.Millis, object connector.Object) action {
	for i := range c.plan.refused {
		refusal := c.plan.refused[i].truncated()
		refusal.Time, refusal.Revision = now, c.snapshot.Revision
		c.plan.refused[i] = refusal
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

// afterRefusals writes the head. If there is no version yet and none is created, it only deletes the refused sets.
func (c *cycle) afterRefusals(_ timekeeper.Millis) action {
	if c.head.Version == 0 && !c.createsVersion() {
		c.folds = nil
		return c.fold()
	}
	return c.commit()
}
