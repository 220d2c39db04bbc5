package publisher

import (
	"sort"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
)

// Check compiles sources with edits applied, as a dry run of an apply. It also checks base revisions and reports an
// outdated one as a problem with CodeEditConflict.
func Check(sources []compiler.Source, edits []Edit) (compiler.View, []compiler.Problem) {
	set := Set{Operation: "check", Edits: edits}
	if len(edits) > 0 {
		if err := set.check(); err != nil {
			refusal := errorRefusal(err)
			return compiler.View{}, []compiler.Problem{
				{Object: refusal.Subject, Field: refusal.Field, Reason: refusal.Reason, Code: refusal.Code},
			}
		}
	}
	r := &resolution{sources: make(map[string]sourceState, len(sources))}
	for _, source := range sources {
		r.sources[source.Name] = sourceState{value: source.Value, revision: source.Revision}
	}
	if conflicts := r.conflicts(&set); len(conflicts) > 0 {
		problems := make([]compiler.Problem, 0, len(conflicts))
		for i := range conflicts {
			refusal := conflictRefusal(conflicts[i : i+1])
			problems = append(problems, compiler.Problem{
				Object: refusal.Subject, Field: refusal.Field, Reason: refusal.Reason, Code: classifier.CodeEditConflict,
			})
		}
		sort.Slice(problems, func(i, j int) bool { return problems[i].Object < problems[j].Object })
		return compiler.View{}, problems
	}
	for i := range edits {
		r.applyEdit(&edits[i], 0)
	}
	return compiler.Compile(r.sortedSources())
}
