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

// Limits of the stored list of refusals, which keep its object below the platform's value limit: a list that could
// not be written would stop every publication.
const (
	maxRefusals     = 64
	maxProblems     = 8
	maxDifferences  = 8
	maxText         = 500 // bytes
	maxValueText    = 200 // bytes
	maxRefusalBytes = 512 << 10
)

// Conflict describes an edit of a source that has changed since the base revision of the edit.
type Conflict struct {
	Name        string                `json:"name"`
	Base        uint64                `json:"base"`
	Current     uint64                `json:"current"`
	Differences []compiler.Difference `json:"differences"` // before is the current value, after the refused one
}

// Refusal describes a refused set, or refused sources if Operation is empty.
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

// RefusedError is returned for a submitted set that was refused. It wraps a *classifier.Error.
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
		Code: code, Subject: first.Object, Field: first.Field, Problems: problems,
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

// truncated returns the refusal shortened to the limits of the stored list.
func (r Refusal) truncated() Refusal {
	conflicts := make([]Conflict, 0, min(len(r.Conflicts), maxProblems))
	for _, conflict := range r.Conflicts[:min(len(r.Conflicts), maxProblems)] {
		differences := make([]compiler.Difference, 0, min(len(conflict.Differences), maxDifferences))
		for _, item := range conflict.Differences[:min(len(conflict.Differences), maxDifferences)] {
			item.Path, item.Before, item.After = truncateText(item.Path), truncateValue(item.Before), truncateValue(item.After)
			differences = append(differences, item)
		}
		conflict.Differences = differences
		conflicts = append(conflicts, conflict)
	}
	problems := make([]compiler.Problem, 0, min(len(r.Problems), maxProblems))
	for _, problem := range r.Problems[:min(len(r.Problems), maxProblems)] {
		problem.Object, problem.Field = truncateText(problem.Object), truncateText(problem.Field)
		problem.Reason = truncateText(problem.Reason)
		problems = append(problems, problem)
	}
	r.Conflicts, r.Problems = conflicts, problems
	r.Author, r.Subject, r.Field, r.Reason = truncateText(r.Author), truncateText(r.Subject),
		truncateText(r.Field), truncateText(r.Reason)
	return r
}

func truncateText(text string) string {
	if len(text) <= maxText {
		return text
	}
	return strings.ToValidUTF8(text[:maxText], "") + "..."
}

// truncateValue truncates a long string, and replaces another value whose JSON is long by the start of that JSON.
func truncateValue(value any) any {
	if text, ok := value.(string); ok && len(text) > maxValueText {
		return strings.ToValidUTF8(text[:maxValueText], "") + "..."
	}
	content, err := json.Marshal(value)
	if err != nil || len(content) <= maxValueText {
		return value
	}
	return strings.ToValidUTF8(string(content[:maxValueText]), "") + "..."
}

// mergeRefusals appends truncated refusals to the stored list and keeps the newest. It discards a stored list that
// cannot be decoded.
func mergeRefusals(stored []byte, added []Refusal) ([]byte, error) {
	var previous []Refusal
	if len(stored) > 0 && json.Unmarshal(stored, &previous) != nil {
		previous = nil
	}
	kept := make([]Refusal, 0, len(previous)+len(added))
	replaced := make(map[string]bool, len(added))
	for i := range added {
		replaced[added[i].Operation] = true
	}
	for i := range previous {
		if !replaced[previous[i].Operation] {
			kept = append(kept, previous[i])
		}
	}
	kept = append(kept, added...)
	kept = kept[max(0, len(kept)-maxRefusals):]
	for {
		content, err := json.Marshal(kept)
		if err != nil {
			return nil, classifier.Wrap(classifier.CodePlatformReply, refusalsName, err)
		}
		if len(content) <= maxRefusalBytes || len(kept) == 0 {
			return content, nil
		}
		kept = kept[(len(kept)+1)/2:]
	}
}
