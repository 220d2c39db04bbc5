package publisher

import (
	"context"
	"fmt"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
)

// observe checks the platform's state against every property.
func (w *world) observe() {
	w.quiet = true
	defer func() { w.quiet = false }()
	snapshot, _ := w.platform.List(context.Background(), connector.KindSource)
	if snapshot.Revision == w.seen {
		return
	}
	w.seen = snapshot.Revision
	object, err := w.platform.Get(context.Background(), connector.KindHead, HeadName)
	if classifier.CodeOf(err) == classifier.CodeObjectMissing {
		return
	}
	head, err := DecodeHead(object.Value)
	if err != nil {
		w.violate(brokenHead, "%v", err)
		return
	}
	if head.Version < w.last.Version || head.SourceRevision < w.last.SourceRevision ||
		(head.Version == w.last.Version && head.Digest != w.last.Digest) {
		w.violate(olderHead, "version %d of sources %d follows version %d of sources %d",
			head.Version, head.SourceRevision, w.last.Version, w.last.SourceRevision)
	}
	w.last = head
	w.observeView(&head)
	w.observeSets(&head)
	w.observeFolding(&head, snapshot)
}

func (w *world) observeView(head *Head) {
	for _, entry := range head.Manifest {
		section, err := w.platform.Get(context.Background(), connector.KindSection, entry.Digest)
		if err != nil {
			w.violate(lostSection, "%v", err)
			return
		}
		w.bodies[entry.Digest] = section.Value
	}
	view, err := compiler.Assemble(head.Version, head.Manifest, w.bodies)
	if err != nil || view.Account("a") == nil || view.Account("b") == nil {
		w.violate(brokenHead, "version %d: %v", head.Version, err)
		return
	}
	a, b := view.Account("a").Host, view.Account("b").Host
	if a[1:] != b[1:] {
		w.violate(partialSet, "version %d has hosts %s and %s", head.Version, a, b)
	}
}

func (w *world) observeSets(head *Head) {
	for _, operation := range head.Operations {
		if fate, ok := w.fates[operation.ID]; ok {
			if fate != operation {
				w.violate(changedFate, "%+v became %+v", fate, operation)
			}
			continue
		}
		w.fates[operation.ID] = operation
		if operation.Code != classifier.CodeOK {
			continue
		}
		for _, set := range w.sets {
			for _, edit := range set.Edits {
				key := fmt.Sprintf("%s@%d", edit.Name, edit.Base)
				if set.Operation != operation.ID {
					continue
				}
				if other := w.winners[key]; other != "" {
					w.violate(twoWinners, "%s and %s edited %s", other, set.Operation, key)
				}
				w.winners[key] = set.Operation
			}
		}
	}
}

// observeFolding compares the head with what all accepted sets resolve to, whatever part of them is folded.
func (w *world) observeFolding(head *Head, snapshot connector.Snapshot) {
	if w.direct {
		return
	}
	var decided []connector.Object
	for _, object := range snapshot.Objects {
		if id, ok := cutSet(object.Name); !ok || head.operation(id) != nil {
			decided = append(decided, object)
		}
	}
	plan := resolve(connector.Snapshot{Objects: decided}, head.Operations, w.cache, mechanisms{})
	if plan.View.Digest != head.Digest {
		w.violate(changedView, "version %d is %s, its sources give %s, problems %v",
			head.Version, head.Digest, plan.View.Digest, plan.Problems)
	}
}

// finish ends all faults and expects every set to be decided, folded and published.
func (w *world) finish() {
	w.quiet = true
	p := New(Options{Platform: w.platform, Clock: w.clock.Clock(), Random: w.random})
	p.off = w.off
	for range 3 {
		if err := p.Publish(context.Background()); err != nil {
			w.violate(stuckAtEnd, "%v", err)
		}
	}
	w.observe()
	for _, object := range w.list() {
		if strings.HasPrefix(object.Name, SetPrefix) {
			w.violate(stuckAtEnd, "%s remains", object.Name)
		}
	}
	for _, set := range w.sets {
		if _, ok := w.fates[set.Operation]; !ok {
			w.violate(stuckAtEnd, "%s was not decided", set.Operation)
		}
	}
}
