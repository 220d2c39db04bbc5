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
func (s *simulation) observe() {
	s.faultsOff = true
	defer func() { s.faultsOff = false }()
	snapshot, _ := s.platform.List(context.Background(), connector.KindSource)
	if snapshot.Revision == s.observedRevision {
		return
	}
	s.observedRevision = snapshot.Revision
	object, err := s.platform.Get(context.Background(), connector.KindHead, HeadName)
	if classifier.CodeOf(err) == classifier.CodeObjectMissing {
		return
	}
	head, err := DecodeHead(object.Value)
	if err != nil {
		s.recordViolation(headInvalid, "%v", err)
		return
	}
	if head.Version < s.lastHead.Version || head.SourceRevision < s.lastHead.SourceRevision ||
		(head.Version == s.lastHead.Version && head.Digest != s.lastHead.Digest) {
		s.recordViolation(headRegressed, "version %d of sources %d follows version %d of sources %d",
			head.Version, head.SourceRevision, s.lastHead.Version, s.lastHead.SourceRevision)
	}
	s.lastHead = head
	s.checkView(&head)
	s.checkDecisions(&head)
	s.checkFolding(&head, snapshot)
}

func (s *simulation) checkView(head *Head) {
	for _, entry := range head.Manifest {
		section, err := s.platform.Get(context.Background(), connector.KindSection, entry.Digest)
		if err != nil {
			s.recordViolation(sectionMissing, "%v", err)
			return
		}
		s.bodies[entry.Digest] = section.Value
	}
	view, err := compiler.Assemble(head.Version, head.Manifest, s.bodies)
	if err != nil || view.Account("a") == nil || view.Account("b") == nil {
		s.recordViolation(headInvalid, "version %d: %v", head.Version, err)
		return
	}
	a, b := view.Account("a").Host, view.Account("b").Host
	if a[1:] != b[1:] {
		s.recordViolation(setPartlyApplied, "version %d has hosts %s and %s", head.Version, a, b)
	}
}

func (s *simulation) checkDecisions(head *Head) {
	for _, operation := range head.Operations {
		if decision, ok := s.decisions[operation.ID]; ok {
			if decision != operation {
				s.recordViolation(decisionChanged, "%+v became %+v", decision, operation)
			}
			continue
		}
		s.decisions[operation.ID] = operation
		if operation.Code != classifier.CodeOK {
			continue
		}
		for _, set := range s.sets {
			for _, edit := range set.Edits {
				key := fmt.Sprintf("%s@%d", edit.Name, edit.Base)
				if set.Operation != operation.ID {
					continue
				}
				if other := s.acceptedEdits[key]; other != "" {
					s.recordViolation(competingSetsAccepted, "%s and %s edited %s", other, set.Operation, key)
				}
				s.acceptedEdits[key] = set.Operation
			}
		}
	}
}

// checkFolding compares the head with the view that all decided sets resolve to, however many of them are folded.
func (s *simulation) checkFolding(head *Head, snapshot connector.Snapshot) {
	if s.directWrites {
		return
	}
	var decided []connector.Object
	for _, object := range snapshot.Objects {
		if id, ok := operationOf(object.Name); !ok || head.operation(id) != nil {
			decided = append(decided, object)
		}
	}
	plan := resolve(connector.Snapshot{Objects: decided}, head.Operations, s.cache, safeguards{})
	if plan.View.Digest != head.Digest {
		s.recordViolation(foldChangedView, "version %d is %s, its sources resolve to %s, problems %v",
			head.Version, head.Digest, plan.View.Digest, plan.Problems)
	}
}

// finish ends all faults and checks that every set is decided, folded into the sources and published.
func (s *simulation) finish() {
	s.faultsOff = true
	p := New(Options{Platform: s.platform, Clock: s.clock.Clock(), Random: s.random})
	p.disabled = s.disabled
	for range 3 {
		if err := p.Publish(context.Background()); err != nil {
			s.recordViolation(neverPublished, "%v", err)
		}
	}
	s.observe()
	for _, object := range s.list() {
		if strings.HasPrefix(object.Name, SetPrefix) {
			s.recordViolation(neverPublished, "%s remains", object.Name)
		}
	}
	for _, set := range s.sets {
		if _, ok := s.decisions[set.Operation]; !ok {
			s.recordViolation(neverPublished, "%s was not decided", set.Operation)
		}
	}
}
