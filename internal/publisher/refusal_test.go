package publisher

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
)

// Guards against invalid sources, written without a set, that replace the published version, whose refusal does not
// name the object and field, or that no set can repair.
func TestInvalidSourcesKeepPublishedVersion(t *testing.T) {
	platform := faker.NewPlatform()
	p, audit := testPublisher(platform, "node-1")
	first := mustSubmit(t, p, "op-1", Edit{Name: "template.shop", Value: testTemplate},
		Edit{Name: "account.a", Value: testAccount("a", "slots: 3")})
	broken := strings.Replace(testTemplate, "target: 200", "target: -1", 1)
	revision, err := platform.Put(t.Context(), connector.Object{
		Kind: connector.KindSource, Name: "template.shop", Value: []byte(broken),
		Revision: revisionOf(t, p, "template.shop"),
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Publish(t.Context()); err != nil {
		t.Fatal(err)
	}
	head, err := p.Head(t.Context())
	if err != nil || head.Version != first.Version || head.Digest != first.Digest {
		t.Fatalf("head is %+v, %v", head, err)
	}
	refusals, err := p.Refusals(t.Context())
	if err != nil || len(refusals) != 1 {
		t.Fatalf("refusals are %+v, %v", refusals, err)
	}
	problem := refusals[0].Problems[0]
	if problem.Object != "account.a" || problem.Field != "ranks[0].target" || refusals[0].Code != problem.Code {
		t.Errorf("unexpected refusal %+v", refusals[0])
	}
	if last := audit.entries[len(audit.entries)-1]; last.Action != "refuse" || last.Code != problem.Code {
		t.Errorf("unexpected audit entry %+v", last)
	}
	_, err = submit(t, p, "op-2", Edit{Name: "account.b", Value: testAccount("b", "slots: 3")})
	if classifier.CodeOf(err) != classifier.CodeSetRefused {
		t.Errorf("a set that leaves the sources invalid gave %v", err)
	}
	repaired := strings.Replace(testTemplate, "target: 200", "target: 300", 1)
	result := mustSubmit(t, p, "op-3", Edit{Name: "template.shop", Value: repaired, Base: revision})
	if result.Version != 2 {
		t.Errorf("repair is in version %d", result.Version)
	}
}

// Guards against a repeated submission that restores a deleted source, and against a deleted source that cannot be
// created again.
func TestDeletedSourceCanBeCreatedAgain(t *testing.T) {
	p, _ := testPublisher(faker.NewPlatform(), "node-1")
	create := Edit{Name: "account.a", Value: testAccount("a", "slots: 3")}
	mustSubmit(t, p, "op-1", Edit{Name: "template.shop", Value: testTemplate}, create)
	mustSubmit(t, p, "op-2", Edit{Name: "account.a", Base: revisionOf(t, p, "account.a"), Delete: true})
	if again := mustSubmit(t, p, "op-1", create); again.Version != 1 {
		t.Errorf("repeated operation is in version %d", again.Version)
	}
	if view, err := p.Version(t.Context(), 2); err != nil || len(view.Accounts) != 0 {
		t.Errorf("deletion left %+v, %v", view, err)
	}
	if result := mustSubmit(t, p, "op-3", create); result.Version != 3 {
		t.Errorf("creation is in version %d", result.Version)
	}
}

// Guards against a dry run that disagrees with the apply that follows it.
func TestCheckAgreesWithSubmit(t *testing.T) {
	p, _ := testPublisher(faker.NewPlatform(), "node-1")
	mustSubmit(t, p, "op-1", Edit{Name: "template.shop", Value: testTemplate},
		Edit{Name: "account.a", Value: testAccount("a", "slots: 3")})
	base := revisionOf(t, p, "account.a")
	cases := map[string]struct {
		edit Edit
		want classifier.Code
	}{
		"op-2": {Edit{Name: "account.a", Value: testAccount("a", "slots: 500"), Base: base}, classifier.CodeSourceInvalid},
		"op-3": {Edit{Name: "account.a", Value: testAccount("a", "slots: 5"), Base: base - 1}, classifier.CodeEditConflict},
		"op-4": {Edit{Name: "set.op-4", Value: "x"}, classifier.CodeSourceInvalid},
		"op-5": {Edit{Name: "account.a", Value: testAccount("a", "slots: 5"), Base: base}, classifier.CodeOK},
	}
	for _, operation := range []string{"op-2", "op-3", "op-4", "op-5"} {
		c := cases[operation]
		sources, err := p.Sources(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		view, problems := Check(sources, []Edit{c.edit})
		result, err := submit(t, p, operation, c.edit)
		if c.want == classifier.CodeOK {
			if len(problems) > 0 || err != nil || view.Digest != result.Digest {
				t.Errorf("%s: check gave %+v, submit %+v, %v", operation, problems, result, err)
			}
			continue
		}
		if len(problems) == 0 || problems[0].Code != c.want || err == nil {
			t.Errorf("%s: check gave %+v, submit %v", operation, problems, err)
		}
	}
}

// Guards against an operator who receives the result of another operator's set because both use one operation id.
func TestSubmitRefusesUsedOperation(t *testing.T) {
	platform := faker.NewPlatform()
	p, _ := testPublisher(platform, "node-1")
	putSet(t, platform, Set{Operation: "op-1", Edits: []Edit{{Name: "template.shop", Value: testTemplate}}})
	_, err := submit(t, p, "op-1", Edit{Name: "template.shop", Value: testTemplate + "# other"})
	if classifier.CodeOf(err) != classifier.CodeBadRequest {
		t.Errorf("error is %v", err)
	}
	if result := mustSubmit(t, p, "op-1", Edit{Name: "template.shop", Value: testTemplate}); result.Version != 1 {
		t.Errorf("first set is in version %d", result.Version)
	}
}

// Guards against refusals whose details outgrow the platform's value limit, which would stop every publication.
func TestLargeRefusalsDoNotStopPublication(t *testing.T) {
	platform := faker.NewPlatform()
	p, _ := testPublisher(platform, "node-1")
	mustSubmit(t, p, "op-0", Edit{Name: "template.shop", Value: testTemplate})
	long := strings.Repeat("<", 200_000)
	for i := range 6 {
		edit := Edit{Name: "account.a", Value: "account: a\ntemplate: shop\nhost: \"" + long + "\"\n"}
		if i%2 == 0 {
			edit.Base = 1 // conflicts, and differs in one long field
		}
		_, err := submit(t, p, fmt.Sprintf("bad-%d", i), edit)
		if code := classifier.CodeOf(err); code != classifier.CodeSetRefused && code != classifier.CodeEditConflict {
			t.Fatalf("set %d gave %v", i, err)
		}
	}
	object, err := platform.Get(t.Context(), connector.KindStatus, refusalsName)
	if err != nil || len(object.Value) > maxRefusalBytes {
		t.Errorf("list of refusals has %d bytes, error %v", len(object.Value), err)
	}
	large := Refusal{Operation: "x", Conflicts: make([]Conflict, 1000)}
	for i := range large.Conflicts {
		large.Conflicts[i].Differences = make([]compiler.Difference, 1000)
		for j := range large.Conflicts[i].Differences {
			large.Conflicts[i].Differences[j] = compiler.Difference{Path: long, Before: long}
		}
	}
	added := slices.Repeat([]Refusal{large.truncated()}, maxRefusals)
	if content, err := mergeRefusals(object.Value, added); err != nil || len(content) > maxRefusalBytes {
		t.Errorf("merged list has %d bytes, error %v", len(content), err)
	}
}
