package publisher

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
)

// Submit stores a set, publishes it and returns once it is accepted or refused. A refusal is a *RefusedError. While
// the platform fails, Submit repeats until the context ends; it then returns CodeUnavailable, and submitting the same
// set again finds the decision or repeats the submission without applying it twice.
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

// submission is a set on its way to a decision.
type submission struct {
	publisher *Publisher
	set       Set
	based     bool // bases of created sources are those of their deletions
	stored    bool
}

// attempt tries to bring the set to a decision; it reports done when there is one.
func (s *submission) attempt(ctx context.Context) (Result, bool, error) {
	if !s.stored {
		if err := s.put(ctx); err != nil {
			code := classifier.CodeOf(err)
			return Result{}, code != classifier.CodeUnavailable && code != classifier.CodeRateLimited, err
		}
		s.stored = true
	}
	c, failure := s.publisher.publish(ctx)
	if c != nil && c.committed {
		if result, done, err := s.decision(&c.next, c.plan.refused); done {
			return result, true, err
		}
	}
	result, done, err := s.look(ctx)
	if err == nil && !done {
		err = failure
	}
	return result, done, err
}

// put stores the set. An object of the same name means that an earlier attempt stored it.
func (s *submission) put(ctx context.Context) error {
	if err := s.rebase(ctx); err != nil {
		return err
	}
	content, err := json.Marshal(s.set)
	if err != nil {
		return classifier.Wrap(classifier.CodeBadRequest, SetPrefix+s.set.Operation, err)
	}
	object := connector.Object{Kind: connector.KindSource, Name: SetPrefix + s.set.Operation, Value: content}
	_, err = s.publisher.options.Platform.Put(ctx, object)
	if classifier.CodeOf(err) == classifier.CodeConflict {
		return nil
	}
	return err
}

// rebase gives edits that create a source the revision of its deletion, if there was one. Deleted sources stay as
// empty objects, so that no revision of a source is ever valid twice.
func (s *submission) rebase(ctx context.Context) error {
	if s.based {
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
	s.set.Edits, s.based = edits, true
	return nil
}

// look reads the decision on the set from the platform.
func (s *submission) look(ctx context.Context) (Result, bool, error) {
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

// decision returns the end of the set by a head and the details of refusals; done is false if there is none yet.
// Before the first version there is no head, and a listed refusal is the decision.
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

// Version returns a published view. A version whose record or sections were collected gives CodeVersionMissing.
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

func cutSet(name string) (string, bool) {
	return strings.CutPrefix(name, SetPrefix)
}
