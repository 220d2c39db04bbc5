package publisher

import (
	"errors"
	"sort"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
)

// mechanisms switches safety mechanisms off. Only test files set it, to show that the tests need each of them.
type mechanisms struct {
	noFence     bool // publish even when the head resolved newer sources
	noCondition bool // overwrite the head whatever its revision
	noConflict  bool // ignore base revisions
	noCompile   bool // accept sets and sources that do not compile
	noAtomic    bool // accept the edits of a set one by one
	noOverlay   bool // ignore accepted sets that are not folded yet
	noIdentity  bool // apply a decided set again when it is submitted again
	noTouch     bool // rely on an existing section without writing it again
	noGuard     bool // collect garbage without writing the head again first
}

// Plan is what a snapshot of the sources resolves to.
type Plan struct {
	Sources  []compiler.Source  // with all accepted sets in place; revisions are those of the stored objects
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

// state is a source during the resolution.
type state struct {
	value    []byte
	revision uint64 // revision of the stored object; 0 if there is none
	set      uint64 // revision of the set that changed the source and is not folded yet
}

// current returns the revision that an edit must not be older than.
func (s *state) current() uint64 {
	return max(s.revision, s.set)
}

type resolution struct {
	off      mechanisms
	cache    *compiler.Cache
	sources  map[string]state
	plan     Plan
	compiled bool // View and Problems of the plan are those of sources
}

// Resolve overlays the sets of a snapshot on its sources in revision order and compiles the result. Operations are
// the decisions that the head holds already. It depends on nothing else, so all publishers resolve a snapshot alike.
func Resolve(snapshot connector.Snapshot, operations []Operation) Plan {
	return resolve(snapshot, operations, compiler.NewCache(), mechanisms{})
}

func resolve(snapshot connector.Snapshot, operations []Operation, cache *compiler.Cache, off mechanisms) Plan {
	r := &resolution{off: off, cache: cache, sources: make(map[string]state)}
	var sets []connector.Object
	for _, object := range snapshot.Objects {
		if strings.HasPrefix(object.Name, SetPrefix) {
			sets = append(sets, object)
		} else if !object.Deleted {
			r.sources[object.Name] = state{value: object.Value, revision: object.Revision}
		}
	}
	sort.Slice(sets, func(i, j int) bool { return sets[i].Revision < sets[j].Revision })
	known := Head{Operations: operations}
	for _, object := range sets {
		set, err := decodeSet(object)
		decided := known.operation(set.Operation)
		switch {
		case decided != nil && decided.Code != classifier.CodeOK:
		case decided != nil:
			if decided.Revision == object.Revision || off.noIdentity {
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

// overlayAccepted puts the edits of an accepted set in place. An edit whose source has moved on was folded already.
func (r *resolution) overlayAccepted(object connector.Object, set *Set) {
	if r.off.noOverlay {
		return
	}
	for i := range set.Edits {
		edit := &set.Edits[i]
		current := r.sources[edit.Name]
		if current.set == 0 && current.revision == edit.Base {
			r.put(edit, object.Revision)
		}
	}
}

// decide accepts or refuses a set that is not in the head yet.
func (r *resolution) decide(object connector.Object, set *Set) {
	if r.off.noAtomic {
		r.decideSingly(object, set)
		return
	}
	if conflicts := r.conflicts(set); len(conflicts) > 0 && !r.off.noConflict {
		r.refuse(object, set, conflictRefusal(conflicts))
		return
	}
	before := make(map[string]state, len(set.Edits))
	for i := range set.Edits {
		before[set.Edits[i].Name] = r.sources[set.Edits[i].Name]
		r.put(&set.Edits[i], object.Revision)
	}
	if problems := r.compile(); len(problems) > 0 && !r.off.noCompile {
		for name, previous := range before {
			r.restore(name, previous)
		}
		r.refuse(object, set, problemRefusal(classifier.CodeSetRefused, problems))
		return
	}
	r.accept(object, set)
}

// decideSingly is decide without atomic sets, for tests.
func (r *resolution) decideSingly(object connector.Object, set *Set) {
	for i := range set.Edits {
		single := Set{Operation: set.Operation, Edits: set.Edits[i : i+1]}
		if len(r.conflicts(&single)) > 0 {
			continue
		}
		before := r.sources[set.Edits[i].Name]
		r.put(&set.Edits[i], object.Revision)
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

func (r *resolution) conflicts(set *Set) []Conflict {
	var conflicts []Conflict
	for i := range set.Edits {
		edit := &set.Edits[i]
		current := r.sources[edit.Name]
		if current.set == 0 && current.revision == edit.Base {
			continue
		}
		conflicts = append(conflicts, Conflict{
			Name: edit.Name, Base: edit.Base, Current: current.current(),
			Differences: compiler.DiffSources(current.value, edit.value()),
		})
	}
	return conflicts
}

// compile compiles the sources as they are now, unless that was done already.
func (r *resolution) compile() []compiler.Problem {
	if !r.compiled {
		r.plan.Sources = r.list()
		r.plan.View, r.plan.Problems = r.cache.Compile(r.plan.Sources)
		r.compiled = true
	}
	return r.plan.Problems
}

func (r *resolution) put(edit *Edit, set uint64) {
	r.compiled = false
	r.sources[edit.Name] = state{value: edit.value(), revision: r.sources[edit.Name].revision, set: set}
}

func (r *resolution) restore(name string, previous state) {
	r.compiled = false
	if previous.revision == 0 && previous.set == 0 {
		delete(r.sources, name)
		return
	}
	r.sources[name] = previous
}

// list returns the sources sorted by name, without deleted ones.
func (r *resolution) list() []compiler.Source {
	sources := make([]compiler.Source, 0, len(r.sources))
	for name, current := range r.sources {
		if len(current.value) > 0 {
			sources = append(sources, compiler.Source{Name: name, Value: current.value, Revision: current.revision})
		}
	}
	sort.Slice(sources, func(i, j int) bool { return sources[i].Name < sources[j].Name })
	return sources
}

func (r *resolution) finish() {
	r.compile()
	for name, current := range r.sources {
		if current.set != 0 {
			r.plan.folds = append(r.plan.folds, connector.Object{
				Kind: connector.KindSource, Name: name, Value: current.value, Revision: current.revision,
			})
		}
	}
	sort.Slice(r.plan.folds, func(i, j int) bool { return r.plan.folds[i].Name < r.plan.folds[j].Name })
}

func asError(err error, target **classifier.Error) bool {
	return errors.As(err, target)
}
