package publisher

import (
	"context"
	"encoding/json"
	"slices"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
)

// Submit stores a set, publishes it and returns once it is accepted or refused. A refusal is a *RefusedError. While
// the platform is unavailable, Submit retries until the context ends and then returns CodeUnavailable. It is
// idempotent: submitting the same set again returns the decision or continues the submission, and never applies the
// set twice.
func (p *Publisher) Submit(ctx context.Context, set Set) (Result, error) {
	if err := set.check(); err != nil {
		return Result{}, err
	}
	s := submission{publisher: p, set: set}
	backoff := p.backoff()
	for {
		result, done, err := s.attempt(ctx)
		if done {
			return result, err
		}
		if backoff.Wait(ctx) != nil {
			if err == nil {
				err = ctx.Err()
			}
			return Result{}, classifier.Wrap(classifier.CodeUnavailable, SetPrefix+set.Operation, err)
		}
	}
}

// submission tracks a submitted set until it is decided.
type submission struct {
	publisher *Publisher
	set       Set
	rebased   bool // edits that create a deleted source have the revision of its deletion as base
	stored    bool
}

// attempt stores the set, runs a publication cycle and returns the decision. It reports false if the caller should
// retry.
func (s *submission) attempt(ctx context.Context) (Result, bool, error) {
	if !s.stored {
		if err := s.storeSet(ctx); err != nil {
			code := classifier.CodeOf(err)
			return Result{}, code != classifier.CodeUnavailable && code != classifier.CodeRateLimited, err
		}
		s.stored = true
	}
	c, publishErr := s.publisher.publish(ctx)
	if c != nil && c.committed {
		if result, done, err := s.decision(&c.next, c.plan.refused); done {
			return result, true, err
		}
	}
	result, done, err := s.readDecision(ctx)
	if err == nil && !done {
		err = publishErr
	}
	return result, done, err
}

// storeSet stores the set. An existing object of the same name and edits was stored by an earlier attempt.
func (s *submission) storeSet(ctx context.Context) error {
	if err := s.rebase(ctx); err != nil {
		return err
	}
	content, err := s.set.encode()
	if err != nil {
		return err
	}
	object := connector.Object{Kind: connector.KindSource, Name: SetPrefix + s.set.Operation, Value: content}
	_, err = s.publisher.options.Platform.Put(ctx, object)
	if classifier.CodeOf(err) != classifier.CodeConflict {
		return err
	}
	stored, err := s.publisher.options.Platform.Get(ctx, object.Kind, object.Name)
	if classifier.CodeOf(err) == classifier.CodeObjectMissing {
		return nil // decided and deleted in the meantime
	}
	if err != nil {
		return err
	}
	if other, err := decodeSet(stored); err != nil || !sameEdits(other.Edits, s.set.Edits) {
		return classifier.New(classifier.CodeBadRequest, object.Name, "the operation id belongs to another set")
	}
	return nil
}

// sameEdits compares edits without their bases, which rebase may have changed.
func sameEdits(a, b []Edit) bool {
	return slices.EqualFunc(a, b, func(x, y Edit) bool {
		return x.Name == y.Name && x.Value == y.Value && x.Delete == y.Delete
	})
}

// rebase sets the base of edits that create a deleted source to the revision of its deletion. Deleted sources remain as
// empty objects, so that no revision of a source ever becomes a valid base again.
func (s *submission) rebase(ctx context.Context) error {
	if s.rebased {
		return nil
	}
	edits := append([]Edit(nil), s.set.Edits...)
	for i := range edits {
		if edits[i].Base != 0 {
			continue
		}
		object, err := s.publisher.options.Platform.Get(ctx, connector.KindSource, edits[i].Name)
		if classifier.CodeOf(err) == classifier.CodeObjectMissing {
			continue
		}
		if err != nil {
			return err
		}
		if len(object.Value) == 0 {
			edits[i].Base = object.Revision
		}
	}
	s.set.Edits, s.rebased = edits, true
	return nil
}

// readDecision reads the decision on the set from the platform.
func (s *submission) readDecision(ctx context.Context) (Result, bool, error) {
	head, err := s.publisher.Head(ctx)
	if err != nil && classifier.CodeOf(err) != classifier.CodeObjectMissing {
		return Result{}, false, err
	}
	decided := head.operation(s.set.Operation)
	if decided == nil && head.Version > 0 {
		return Result{}, false, nil
	}
	var refusals []Refusal
	if decided == nil || decided.Code != classifier.CodeOK {
		if refusals, err = s.publisher.Refusals(ctx); err != nil {
			return Result{}, false, err
		}
	}
	return s.decision(&head, refusals)
}

// decision returns the decision recorded in the head, with details from the list of refusals; done is false while the
// set is undecided. Before the first version there is no head, and a listed refusal is the decision.
func (s *submission) decision(head *Head, refusals []Refusal) (result Result, done bool, refused error) {
	id := s.set.Operation
	decided := head.operation(id)
	switch {
	case decided == nil && head.Version > 0:
		return Result{}, false, nil
	case decided != nil && decided.Code == classifier.CodeOK:
		return Result{Operation: id, Version: decided.Version, Digest: head.Digest}, true, nil
	}
	for i := range refusals {
		if refusals[i].Operation == id {
			return Result{}, true, &RefusedError{Refusal: refusals[i]}
		}
	}
	if decided == nil {
		return Result{}, false, nil
	}
	return Result{}, true, &RefusedError{Refusal: Refusal{
		Operation: id, Code: decided.Code, Subject: SetPrefix + id,
		Reason: "the set was refused; its details are not kept any more",
	}}
}

// Refusals returns the stored refusals, oldest first.
func (p *Publisher) Refusals(ctx context.Context) ([]Refusal, error) {
	object, err := p.options.Platform.Get(ctx, connector.KindStatus, refusalsName)
	if classifier.CodeOf(err) == classifier.CodeObjectMissing {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var refusals []Refusal
	if err := json.Unmarshal(object.Value, &refusals); err != nil {
		return nil, classifier.Wrap(classifier.CodePlatformReply, refusalsName, err)
	}
	return refusals, nil
}

// Version returns the view of a published version, or an error with CodeVersionMissing if its record or one of its
// sections was garbage collected.
func (p *Publisher) Version(ctx context.Context, version uint64) (compiler.View, error) {
	object, err := p.options.Platform.Get(ctx, connector.KindStatus, versionName(version))
	if classifier.CodeOf(err) == classifier.CodeObjectMissing {
		return compiler.View{}, classifier.Wrap(classifier.CodeVersionMissing, versionName(version), err)
	}
	if err != nil {
		return compiler.View{}, err
	}
	head, err := DecodeHead(object.Value)
	if err != nil {
		return compiler.View{}, err
	}
	bodies := make(map[string][]byte, len(head.Manifest))
	for _, entry := range head.Manifest {
		section, err := p.options.Platform.Get(ctx, connector.KindSection, entry.Digest)
		if classifier.CodeOf(err) == classifier.CodeObjectMissing {
			return compiler.View{}, classifier.Wrap(classifier.CodeVersionMissing, versionName(version), err)
		}
		if err != nil {
			return compiler.View{}, err
		}
		bodies[entry.Digest] = section.Value
	}
	return compiler.Assemble(version, head.Manifest, bodies)
}

// operationOf returns the operation id in the name of a set object; it reports false for other names.
func operationOf(name string) (string, bool) {
	return strings.CutPrefix(name, SetPrefix)
}
