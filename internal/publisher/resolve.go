package publisher

import (
	"errors"
	"sort"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
)

// safeguards selects safety mechanisms to disable. Only tests set it, to show that they detect the lack of each one.
// The field comments describe the behaviour without the mechanism.
type safeguards struct {
	fence           bool // publish even if the head is built from newer sources
	conditionalHead bool // overwrite the head regardless of its revision
	baseRevisions   bool // ignore base revisions
	compilation     bool // accept sets and sources that do not compile
	atomicSets      bool // accept the edits of a set one by one
	overlay         bool // ignore accepted sets that are not folded yet
	setIdentity     bool // apply a decided set again when it is submitted again
	sectionRewrite  bool // rely on an existing section without rewriting it
	headRewrite     bool // collect garbage without rewriting the head first
}

// Plan is the result of resolving a snapshot of the sources.
type Plan struct {
	Sources  []compiler.Source  // with all accepted sets applied; revisions are those of the stored objects
	View     compiler.View      // valid if Problems is empty
	Problems []compiler.Problem // why the sources do not compile
	Author   string             // author of the last newly accepted set

	accepted []acceptedSet      // newly accepted, in order
	refused  []Refusal          // newly refused
	folds    []connector.Object // source objects to write, with the revisions they replace
	sets     []connector.Object // decided set objects to delete after the folds, in order
}

// acceptedSet is a set with the revision of its object.
type acceptedSet struct {
	Set
	revision uint64
}

// sourceState is the state of a source during the resolution.
type sourceState struct {
	value       []byte
	revision    uint64 // revision of the stored object; 0 if there is none
	setRevision uint64 // revision of the set that changed the source and is not folded yet
}

// currentRevision returns the revision of the last change to the source, folded or not.
func (s *sourceState) currentRevision() uint64 {
	return max(s.revision, s.setRevision)
}

// resolution is the state while a snapshot is resolved.
type resolution struct {
	disabled safeguards
	cache    *compiler.Cache
	sources  map[string]sourceState
	plan     Plan
	compiled bool // the plan's Sources, View and Problems are up to date
}

// Resolve applies the sets of a snapshot to its sources in revision order and compiles the result. Operations are the
// decisions recorded in the head. The plan depends on nothing else, so all publishers resolve a snapshot identically.
func Resolve(snapshot connector.Snapshot, operations []Operation) Plan {
	return resolve(snapshot, operations, compiler.NewCache(), safeguards{})
}

func resolve(snapshot connector.Snapshot, operations []Operation, cache *compiler.Cache, disabled safeguards) Plan {
	r := &resolution{disabled: disabled, cache: cache, sources: make(map[string]sourceState)}
	var sets []connector.Object
	for _, object := range snapshot.Objects {
		if strings.HasPrefix(object.Name, SetPrefix) {
			sets = append(sets, object)
		} else if !object.Deleted {
			r.sources[object.Name] = sourceState{value: object.Value, revision: object.Revision}
		}
	}
	sort.Slice(sets, func(i, j int) bool { return sets[i].Revision < sets[j].Revision })
	recorded := Head{Operations: operations}
	for _, object := range sets {
		set, err := decodeSet(object)
		decided := recorded.operation(set.Operation)
		switch {
		case decided != nil && decided.Code != classifier.CodeOK:
		case decided != nil:
			if decided.Revision == object.Revision || disabled.setIdentity {
				r.overlayAccepted(object, &set)
			}
		case err != nil:
			r.refuse(object, &set, errorRefusal(err))
		default:
			r.decide(object, &set)
		}
	}
	r.plan.sets = sets
	r.finish()
	return r.plan
}

// overlayAccepted applies the edits of an accepted set. An edit whose source has a newer revision is already folded.
func (r *resolution) overlayAccepted(object connector.Object, set *Set) {
	if r.disabled.overlay {
		return
	}
	for i := range set.Edits {
		edit := &set.Edits[i]
		current := r.sources[edit.Name]
		if current.setRevision == 0 && current.revision == edit.Base {
			r.applyEdit(edit, object.Revision)
		}
	}
}

// decide accepts or refuses a set without a decision in the head.
func (r *resolution) decide(object connector.Object, set *Set) {
	if r.disabled.atomicSets {
		r.decidePerEdit(object, set)
		return
	}
	if conflicts := r.conflicts(set); len(conflicts) > 0 && !r.disabled.baseRevisions {
		r.refuse(object, set, conflictRefusal(conflicts))
		return
	}
	before := make(map[string]sourceState, len(set.Edits))
	for i := range set.Edits {
		before[set.Edits[i].Name] = r.sources[set.Edits[i].Name]
		r.applyEdit(&set.Edits[i], object.Revision)
	}
	if problems := r.compile(); len(problems) > 0 && !r.disabled.compilation {
		for name, previous := range before {
			r.restore(name, previous)
		}
		r.refuse(object, set, problemRefusal(classifier.CodeSetRefused, problems))
		return
	}
	r.accept(object, set)
}

// decidePerEdit replaces decide in tests that disable atomic sets. It applies each valid edit and accepts the set.
func (r *resolution) decidePerEdit(object connector.Object, set *Set) {
	for i := range set.Edits {
		single := Set{Operation: set.Operation, Edits: set.Edits[i : i+1]}
		if len(r.conflicts(&single)) > 0 {
			continue
		}
		before := r.sources[set.Edits[i].Name]
		r.applyEdit(&set.Edits[i], object.Revision)
		if len(r.compile()) > 0 {
			r.restore(set.Edits[i].Name, before)
		}
	}
	r.accept(object, set)
}

func (r *resolution) accept(object connector.Object, set *Set) {
	r.plan.accepted = append(r.plan.accepted, acceptedSet{Set: *set, revision: object.Revision})
	r.plan.Author = set.Author
}

func (r *resolution) refuse(object connector.Object, set *Set, refusal Refusal) {
	refusal.Operation, refusal.Author = set.Operation, set.Author
	if refusal.Subject == "" {
		refusal.Subject = object.Name
	}
	r.plan.refused = append(r.plan.refused, refusal)
}

// conflicts returns the edits of a set whose base is not the current revision of the source.
func (r *resolution) conflicts(set *Set) []Conflict {
	var conflicts []Conflict
	for i := range set.Edits {
		edit := &set.Edits[i]
		current := r.sources[edit.Name]
		if current.setRevision == 0 && current.revision == edit.Base {
			continue
		}
		conflicts = append(conflicts, Conflict{
			Name: edit.Name, Base: edit.Base, Current: current.currentRevision(),
			Differences: compiler.DiffSources(current.value, edit.value()),
		})
	}
	return conflicts
}

// compile compiles the sources unless the plan is up to date, and returns the problems.
func (r *resolution) compile() []compiler.Problem {
	if !r.compiled {
		r.plan.Sources = r.sortedSources()
		r.plan.View, r.plan.Problems = r.cache.Compile(r.plan.Sources)
		r.compiled = true
	}
	return r.plan.Problems
}

// applyEdit applies an edit that belongs to the set with the given revision.
func (r *resolution) applyEdit(edit *Edit, setRevision uint64) {
	r.compiled = false
	r.sources[edit.Name] = sourceState{
		value: edit.value(), revision: r.sources[edit.Name].revision, setRevision: setRevision,
	}
}

func (r *resolution) restore(name string, previous sourceState) {
	r.compiled = false
	if previous.revision == 0 && previous.setRevision == 0 {
		delete(r.sources, name)
		return
	}
	r.sources[name] = previous
}

// sortedSources returns the sources sorted by name, without deleted ones.
func (r *resolution) sortedSources() []compiler.Source {
	sources := make([]compiler.Source, 0, len(r.sources))
	for name, current := range r.sources {
		if len(current.value) > 0 {
			sources = append(sources, compiler.Source{Name: name, Value: current.value, Revision: current.revision})
		}
	}
	sort.Slice(sources, func(i, j int) bool { return sources[i].Name < sources[j].Name })
	return sources
}

// finish compiles the sources and lists those to fold.
func (r *resolution) finish() {
	r.compile()
	for name, current := range r.sources {
		if current.setRevision != 0 {
			r.plan.folds = append(r.plan.folds, connector.Object{
				Kind: connector.KindSource, Name: name, Value: current.value, Revision: current.revision,
			})
		}
	}
	sort.Slice(r.plan.folds, func(i, j int) bool { return r.plan.folds[i].Name < r.plan.folds[j].Name })
}

// asError sets target to the first classifier.Error in the chain of err, and reports whether there is one.
func asError(err error, target **classifier.Error) bool {
	return errors.As(err, target)
}
