package publisher

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// refusalsName is the name of the object of kind status that lists refusals.
const refusalsName = "refusals"

// Limits of the stored list of refusals, which keep its object far below the platform's value limit.
const (
	maxRefusals    = 64
	maxProblems    = 16
	maxDifferences = 16
	maxValueText   = 200
)

// Conflict states that a set edited a source that changed since its base revision.
type Conflict struct {
	Name        string                `json:"name"`
	Base        uint64                `json:"base"`
	Current     uint64                `json:"current"`
	Differences []compiler.Difference `json:"differences"` // before is the current value, after the refused one
}

// Refusal is a refused set, or refused sources when Operation is empty.
type Refusal struct {
	Operation string             `json:"operation,omitempty"`
	Author    string             `json:"author,omitempty"`
	Time      timekeeper.Millis  `json:"time"`
	Revision  uint64             `json:"revision"` // revision of the sources
	Code      classifier.Code    `json:"code"`
	Subject   string             `json:"subject"`
	Field     string             `json:"field,omitempty"`
	Reason    string             `json:"reason"`
	Conflicts []Conflict         `json:"conflicts,omitempty"`
	Problems  []compiler.Problem `json:"problems,omitempty"`
}

// RefusedError is the error of a submitted set that was refused. Its chain holds a *classifier.Error.
type RefusedError struct {
	Refusal Refusal
}

// Error formats the refusal on one line.
func (e *RefusedError) Error() string {
	return e.Unwrap().Error()
}

// Unwrap returns the refusal as a *classifier.Error.
func (e *RefusedError) Unwrap() error {
	return &classifier.Error{
		Code: e.Refusal.Code, Subject: e.Refusal.Subject, Field: e.Refusal.Field, Reason: e.Refusal.Reason,
	}
}

func conflictRefusal(conflicts []Conflict) Refusal {
	first := conflicts[0]
	fields := make([]string, 0, len(first.Differences))
	for _, difference := range first.Differences {
		fields = append(fields, difference.Path)
	}
	return Refusal{
		Code: classifier.CodeEditConflict, Subject: first.Name, Field: strings.Join(fields, ", "), Conflicts: conflicts,
		Reason: fmt.Sprintf("base revision %d is not the current revision %d", first.Base, first.Current),
	}
}

func problemRefusal(code classifier.Code, problems []compiler.Problem) Refusal {
	first := problems[0]
	return Refusal{
		Code: code, Subject: first.Object, Field: first.Field, Problems: problems[:min(len(problems), maxProblems)],
		Reason: fmt.Sprintf("%s (code %d; %d problems)", first.Reason, first.Code, len(problems)),
	}
}

func errorRefusal(err error) Refusal {
	refusal := Refusal{Code: classifier.CodeOf(err), Reason: err.Error()}
	var failure *classifier.Error
	if asError(err, &failure) {
		refusal.Subject, refusal.Field, refusal.Reason = failure.Subject, failure.Field, failure.Reason
	}
	return refusal
}

// bound shortens a refusal to what is stored.
func (r Refusal) bound() Refusal {
	conflicts := make([]Conflict, 0, len(r.Conflicts))
	for _, conflict := range r.Conflicts[:min(len(r.Conflicts), maxProblems)] {
		differences := make([]compiler.Difference, 0, len(conflict.Differences))
		for _, item := range conflict.Differences[:min(len(conflict.Differences), maxDifferences)] {
			item.Before, item.After = shorten(item.Before), shorten(item.After)
			differences = append(differences, item)
		}
		conflict.Differences = differences
		conflicts = append(conflicts, conflict)
	}
	r.Conflicts = conflicts
	r.Field = r.Field[:min(len(r.Field), 4*maxValueText)]
	return r
}

// shorten replaces a value whose JSON is long by the start of that JSON.
func shorten(value any) any {
	content, err := json.Marshal(value)
	if err != nil || len(content) <= maxValueText {
		return value
	}
	return strings.ToValidUTF8(string(content[:maxValueText]), "") + "..."
}

// mergeRefusals appends refusals to a stored list and keeps the newest. An unreadable list is started over.
func mergeRefusals(stored []byte, added []Refusal) ([]byte, error) {
	var list []Refusal
	if len(stored) > 0 && json.Unmarshal(stored, &list) != nil {
		list = nil
	}
	kept := make([]Refusal, 0, len(list)+len(added))
	replaced := make(map[string]bool, len(added))
	for i := range added {
		replaced[added[i].Operation] = true
	}
	for i := range list {
		if !replaced[list[i].Operation] {
			kept = append(kept, list[i])
		}
	}
	for i := range added {
		kept = append(kept, added[i].bound())
	}
	kept = kept[max(0, len(kept)-maxRefusals):]
	content, err := json.Marshal(kept)
	if err != nil {
		return nil, classifier.Wrap(classifier.CodePlatformReply, refusalsName, err)
	}
	return content, nil
}
