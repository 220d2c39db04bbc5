package compiler

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

const shopTemplate = `
template: shop
parameters:
  - {name: slots, type: int, default: 6, min: 1, max: 100}
  - {name: zones, type: list, default: [west, east]}
  - {name: prefix, type: string, default: v1}
ranks:
  - {name: urgent, order: 1, target: 200, worth: 100, share: 50}
services:
  - {name: desk, zones: ${zones}, slots: ${slots}, connections: 130}
calls:
  - {name: order, service: desk, method: POST, path: "/${prefix}/order", rank: urgent, timeout: 1000}
`

const shopAccount = "account: a\ntemplate: shop\nhost: a.example\n"

func shop(template, account string) []Source {
	return []Source{
		{Name: "account.a", Value: []byte(account)}, {Name: "template.shop", Value: []byte(template)},
	}
}

// Guards against values that lose their type or are not put in place, and against an unsorted view.
func TestCompileSubstitutesParameters(t *testing.T) {
	view, problems := Compile(shop(shopTemplate, shopAccount+"values: {slots: 9, prefix: v2}\n"))
	if diff := cmp.Diff([]Problem(nil), problems); diff != "" {
		t.Fatalf("problems (-want +got):\n%s", diff)
	}
	want := View{
		Digest:   view.Digest,
		Services: []Service{{Name: "desk", Zones: []string{"east", "west"}, Slots: 9, Connections: 130}},
		Accounts: []Account{{
			Name: "a", Host: "a.example", Template: "shop", Services: []string{"desk"},
			Ranks: []Rank{{Name: "urgent", Order: 1, Target: 200, Worth: 100, Share: 50}},
			Calls: []Call{{
				Name: "order", Service: "desk", Method: "POST", Path: "/v2/order", Rank: "urgent", Timeout: 1000,
			}},
		}},
	}
	if diff := cmp.Diff(want, view); diff != "" {
		t.Errorf("view differs (-want +got):\n%s", diff)
	}
}

// Guards against a faulty source that compiles, or whose problem does not lead its author to the field.
func TestCompileNamesObjectAndField(t *testing.T) {
	type edit struct{ old, next string }
	cases := []struct {
		name     string
		template edit
		account  edit
		want     Problem // without reason
	}{
		{
			name: "unknown field", template: edit{"worth: 100", "wort: 100"},
			want: Problem{Object: "account.a", Field: "ranks[0].wort", Code: classifier.CodeSourceDecode},
		},
		{
			name: "wrong type", template: edit{"target: 200", "target: soon"},
			want: Problem{Object: "account.a", Field: "ranks[0].target", Code: classifier.CodeSourceDecode},
		},
		{
			name: "out of range", template: edit{"connections: 130", "connections: 0"},
			want: Problem{Object: "account.a", Field: "services[0].connections", Code: classifier.CodeSourceInvalid},
		},
		{
			name: "missing", template: edit{"method: POST, ", ""},
			want: Problem{Object: "account.a", Field: "calls[0].method", Code: classifier.CodeSourceInvalid},
		},
		{
			name: "unclean path", template: edit{"/${prefix}/order", "/a/../order"},
			want: Problem{Object: "account.a", Field: "calls[0].path", Code: classifier.CodeSourceInvalid},
		},
		{
			name: "unknown rank", template: edit{"rank: urgent", "rank: other"},
			want: Problem{Object: "account.a", Field: "calls.order.rank", Code: classifier.CodeSourceReference},
		},
		{
			name: "unknown service", template: edit{"service: desk", "service: other"},
			want: Problem{Object: "account.a", Field: "calls.order.service", Code: classifier.CodeSourceReference},
		},
		{
			name: "unknown reference", template: edit{"${slots}", "${size}"},
			want: Problem{Object: "template.shop", Code: classifier.CodeSourceReference},
		},
		{
			name: "list inside text", template: edit{"${prefix}", "${zones}"},
			want: Problem{Object: "account.a", Field: "calls[0]", Code: classifier.CodeSourceReference},
		},
		{
			name: "default out of range", template: edit{"default: 6", "default: 600"},
			want: Problem{Object: "template.shop", Field: "parameters[0].default", Code: classifier.CodeSourceInvalid},
		},
		{
			name: "unknown type", template: edit{"type: int", "type: number"},
			want: Problem{Object: "template.shop", Field: "parameters[0].type", Code: classifier.CodeSourceInvalid},
		},
		{
			name: "shares over 100", template: edit{"share: 50}", "share: 90}\n  - {name: low, order: 2, target: 9, share: 20}"},
			want: Problem{Object: "account.a", Field: "ranks", Code: classifier.CodeSourceInvalid},
		},
		{
			name: "same order", template: edit{"share: 50}", "share: 50}\n  - {name: low, order: 1, target: 9, share: 20}"},
			want: Problem{Object: "account.a", Field: "ranks.urgent.order", Code: classifier.CodeSourceDuplicate},
		},
		{
			name: "alias", template: edit{"[west, east]", "&z [west, east]"},
			want: Problem{Object: "template.shop", Code: classifier.CodeSourceDecode},
		},
		{
			name: "capital key", template: edit{"share:", "Share:"},
			want: Problem{Object: "template.shop", Code: classifier.CodeSourceDecode},
		},
		{
			name: "not YAML", template: edit{"ranks:", "ranks: ]"},
			want: Problem{Object: "template.shop", Code: classifier.CodeSourceDecode},
		},
		{
			name: "value out of range", account: edit{"host:", "values: {slots: 101}\nhost:"},
			want: Problem{Object: "account.a", Field: "values.slots", Code: classifier.CodeSourceInvalid},
		},
		{
			name: "undeclared value", account: edit{"host:", "values: {size: 1}\nhost:"},
			want: Problem{Object: "account.a", Field: "values.size", Code: classifier.CodeSourceReference},
		},
		{
			name: "other name", account: edit{"account: a", "account: b"},
			want: Problem{Object: "account.a", Field: "account", Code: classifier.CodeSourceInvalid},
		},
		{
			name: "unknown template", account: edit{"template: shop", "template: mall"},
			want: Problem{Object: "account.a", Field: "template", Code: classifier.CodeSourceReference},
		},
		{
			name: "bad host", account: edit{"a.example", "A.example:80"},
			want: Problem{Object: "account.a", Field: "host", Code: classifier.CodeSourceInvalid},
		},
		{
			name: "too large", account: edit{"host:", "#" + strings.Repeat("x", MaxSourceBytes) + "\nhost:"},
			want: Problem{Object: "account.a", Code: classifier.CodeSourceTooLarge},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			template := strings.Replace(shopTemplate, c.template.old, c.template.next, 1)
			account := strings.Replace(shopAccount, c.account.old, c.account.next, 1)
			_, problems := Compile(shop(template, account))
			if len(problems) == 0 || problems[0].Reason == "" {
				t.Fatalf("no problem with a reason: %+v", problems)
			}
			problems[0].Reason = ""
			if diff := cmp.Diff(c.want, problems[0]); diff != "" {
				t.Errorf("problem differs (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against two accounts that answer for one host or disagree about a shared service.
func TestCompileRefusesAccountsThatCollide(t *testing.T) {
	for host, values := range map[string]string{"a.example": "slots: 6", "b.example": "slots: 7"} {
		sources := append(shop(shopTemplate, shopAccount), Source{
			Name: "account.b", Value: []byte("account: b\ntemplate: shop\nhost: " + host + "\nvalues: {" + values + "}\n"),
		})
		_, problems := Compile(sources)
		if len(problems) != 1 || problems[0].Code != classifier.CodeSourceDuplicate || problems[0].Object != "account.b" {
			t.Errorf("host %s, %s: unexpected problems %+v", host, values, problems)
		}
	}
}

// Guards against a conflict report that does not lead to the field that changed.
func TestDiffNamesFieldPaths(t *testing.T) {
	before, _ := Compile(shop(shopTemplate, shopAccount))
	after, _ := Compile(shop(strings.Replace(shopTemplate, "timeout: 1000", "timeout: 900", 1), shopAccount))
	want := []Difference{{Path: "accounts.a.calls.order.timeout", Before: 1000.0, After: 900.0}}
	if diff := cmp.Diff(want, Diff(&before, &after)); diff != "" {
		t.Errorf("differences differ (-want +got):\n%s", diff)
	}
	want = []Difference{{Path: "calls.order.path", Before: "/${prefix}/order", After: "/order"}}
	got := DiffSources([]byte(shopTemplate), []byte(strings.Replace(shopTemplate, "${prefix}/", "", 1)))
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("differences differ (-want +got):\n%s", diff)
	}
}
