package publisher

import (
	"fmt"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
)

// maxOperations is the number of decided sets that the head keeps after their objects are deleted, so that a
// submitter whose replies were lost can still read the decision.
const maxOperations = 64

// versionPrefix starts the names of the objects of kind status that record published versions.
const versionPrefix = "version."

// versionName returns the name of the record of a version.
func versionName(version uint64) string {
	return fmt.Sprintf("%s%d", versionPrefix, version)
}

// commit builds the next head and writes it on the condition that the head has not changed since it was read.
func (c *cycle) commit() action {
	next := c.head
	if c.createsVersion() {
		next.Format, next.Version = HeadFormat, max(c.head.Version, c.newest)+1
		next.Manifest, next.Digest, next.Published = c.next.Manifest, c.next.Digest, c.next.Published
		next.Author = c.plan.Author
		next.Base, next.Delta = c.delta(next.Version)
	}
	next.SourceRevision = c.snapshot.Revision
	next.Operations = c.operations(next.Version)
	c.next = next
	body, err := next.Encode()
	if err != nil {
		return finish{err: err}
	}
	headRevision := c.headRevision
	if c.disabled.conditionalHead {
		headRevision = c.overwriteRevision
	}
	c.phase = phaseCommit
	return putObject{object: connector.Object{
		Kind: connector.KindHead, Name: HeadName, Revision: headRevision, Value: body,
	}}
}

// delta returns the published version and the encoded delta from it to the next one, or zero values if sections of the
// published version are missing or the delta exceeds maxDeltaBytes.
func (c *cycle) delta(version uint64) (uint64, []byte) {
	if c.head.Version == 0 {
		return 0, nil
	}
	bodies := make(map[string][]byte, len(c.head.Manifest))
	for _, entry := range c.head.Manifest {
		if body := c.bodies[entry.Digest]; body != nil {
			bodies[entry.Digest] = body
		} else if body := c.store.get(entry.Digest); body != nil {
			bodies[entry.Digest] = body
		}
	}
	base, err := compiler.Assemble(c.head.Version, c.head.Manifest, bodies)
	if err != nil {
		return 0, nil
	}
	view := c.plan.View
	view.Version = version
	encoded, err := compiler.Delta(&base, &view)
	if err != nil || len(encoded) > maxDeltaBytes {
		return 0, nil
	}
	return c.head.Version, encoded
}

// operations returns the decisions recorded in the head, followed by those of this cycle. It keeps the last
// maxOperations and all whose set object may still exist, because a set without a recorded decision would be decided
// again.
func (c *cycle) operations(version uint64) []Operation {
	decisions := append([]Operation(nil), c.head.Operations...)
	for i := range c.plan.accepted {
		set := &c.plan.accepted[i]
		decisions = append(decisions, Operation{ID: set.Operation, Version: version, Revision: set.revision})
	}
	for i := range c.plan.refused {
		if refusal := &c.plan.refused[i]; refusal.Operation != "" {
			decisions = append(decisions, Operation{ID: refusal.Operation, Code: refusal.Code})
		}
	}
	existing := make(map[string]bool, len(c.plan.sets))
	for _, object := range c.plan.sets {
		existing[strings.TrimPrefix(object.Name, SetPrefix)] = true
	}
	kept := make([]Operation, 0, len(decisions))
	for i, operation := range decisions {
		if i >= len(decisions)-maxOperations || existing[operation.ID] {
			kept = append(kept, operation)
		}
	}
	return kept
}

// onCommit handles the reply to the write of the head. If the reply was lost, it reads the head to see whether the
// write took effect.
func (c *cycle) onCommit(err error, conflict bool) action {
	switch {
	case err == nil:
		return c.onCommitted()
	case conflict && c.disabled.conditionalHead:
		c.phase = phaseConfirm
		return getObject{kind: connector.KindHead, name: HeadName}
	case conflict:
		return c.restart(err)
	case classifier.CodeOf(err) == classifier.CodeUnavailable:
		c.phase = phaseConfirm
		return getObject{kind: connector.KindHead, name: HeadName}
	}
	return finish{err: err}
}

// restart starts the cycle again, or ends it with err after maxRestarts.
func (c *cycle) restart(err error) action {
	c.restarts++
	if c.restarts > maxRestarts {
		return finish{err: err}
	}
	c.next = Head{}
	c.phase = phaseList
	return listKind{kind: connector.KindSource}
}

// onConfirm checks in the head whether a write whose reply was lost took effect.
func (c *cycle) onConfirm(object connector.Object, missing bool) action {
	if c.disabled.conditionalHead {
		c.overwriteRevision = object.Revision
		return c.commit()
	}
	if missing {
		return c.restart(classifier.New(classifier.CodeUnavailable, HeadName, "the write did not take effect"))
	}
	head, err := DecodeHead(object.Value)
	if err != nil {
		return finish{err: err}
	}
	if head.SourceRevision == c.next.SourceRevision && head.Digest == c.next.Digest && c.sameDecisions(&head) {
		return c.onCommitted()
	}
	return c.restart(classifier.New(classifier.CodeUnavailable, HeadName, "the write did not take effect"))
}

// sameDecisions reports whether a head contains this cycle's decision on every set of the snapshot.
func (c *cycle) sameDecisions(head *Head) bool {
	for _, object := range c.plan.sets {
		id := strings.TrimPrefix(object.Name, SetPrefix)
		own, other := c.next.operation(id), head.operation(id)
		if own == nil || other == nil || *own != *other {
			return false
		}
	}
	return true
}

// onCommitted writes the version record, then folds the accepted sets.
func (c *cycle) onCommitted() action {
	c.committed = true
	if c.next.Version == c.head.Version {
		return c.fold()
	}
	body, err := (&Head{
		Format: HeadFormat, Version: c.next.Version, Digest: c.next.Digest, Manifest: c.next.Manifest,
		SourceRevision: c.next.SourceRevision, Author: c.next.Author, Published: c.next.Published,
	}).Encode()
	if err != nil {
		return c.fold()
	}
	c.phase = phaseRecord
	return putObject{object: connector.Object{
		Kind: connector.KindStatus, Name: versionName(c.next.Version), Value: body,
	}}
}

// fold writes accepted edits into their sources, then deletes the decided sets, one call at a time.
func (c *cycle) fold() action {
	if len(c.folds) > 0 {
		c.phase = phaseFold
		return putObject{object: c.folds[0]}
	}
	if len(c.sets) > 0 {
		c.phase = phaseDelete
		return deleteObject{object: c.sets[0]}
	}
	return finish{}
}
