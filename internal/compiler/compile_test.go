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

// Guards against values that lose their type or are not substituted, and against an unsorted view.
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

// Guards against an invalid source that compiles, or whose problem does not name the source and the field.
func TestCompileNamesObjectAndField(t *testing.T) {
	const (
		decode    = classifier.CodeSourceDecode
		invalid   = classifier.CodeSourceInvalid
		reference = classifier.CodeSourceReference
		duplicate = classifier.CodeSourceDuplicate
	)
	longComment := "#" + strings.Repeat("x", MaxSourceBytes)
	addedRank := "share: 50}\n  - {name: low, target: 9, "
	cases := []struct {
		name, old, next string // old is replaced by next in the template, or else in the account
		object, field   string
		code            classifier.Code
	}{
		{"unknown field", "worth: 100", "wort: 100", "account.a", "ranks[0].wort", decode},
		{"wrong type", "target: 200", "target: soon", "account.a", "ranks[0].target", decode},
		{"out of range", "connections: 130", "connections: 0", "account.a", "services[0].connections", invalid},
		{"missing", "method: POST, ", "", "account.a", "calls[0].method", invalid},
		{"unclean path", "/${prefix}/order", "/a/../order", "account.a", "calls[0].path", invalid},
		{"unknown rank", "rank: urgent", "rank: other", "account.a", "calls.order.rank", reference},
		{"unknown service", "service: desk", "service: other", "account.a", "calls.order.service", reference},
		{"unknown reference", "${slots}", "${size}", "template.shop", "", reference},
		{"list inside text", "${prefix}", "${zones}", "account.a", "calls[0]", reference},
		{"default out of range", "default: 6", "default: 600", "template.shop", "parameters[0].default", invalid},
		{"unknown type", "type: int", "type: number", "template.shop", "parameters[0].type", invalid},
		{"shares over 100", "share: 50}", addedRank + "order: 2, share: 60}", "account.a", "ranks", invalid},
		{"same order", "share: 50}", addedRank + "order: 1, share: 20}", "account.a", "ranks.urgent.order", duplicate},
		{"alias", "[west, east]", "&z [west, east]", "template.shop", "", decode},
		{"capital key", "share:", "Share:", "template.shop", "", decode},
		{"not YAML", "ranks:", "ranks: ]", "template.shop", "", decode},
		{"value out of range", "host:", "values: {slots: 101}\nhost:", "account.a", "values.slots", invalid},
		{"undeclared value", "host:", "values: {size: 1}\nhost:", "account.a", "values.size", reference},
		{"other name", "account: a", "account: b", "account.a", "account", invalid},
		{"unknown template", "template: shop\nhost", "template: mall\nhost", "account.a", "template", reference},
		{"bad host", "a.example", "A.example:80", "account.a", "host", invalid},
		{"too large", "host:", longComment + "\nhost:", "account.a", "", classifier.CodeSourceTooLarge},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			template, account := strings.Replace(shopTemplate, c.old, c.next, 1), shopAccount
			if template == shopTemplate {
				account = strings.Replace(shopAccount, c.old, c.next, 1)
			}
			_, problems := Compile(shop(template, account))
			if len(problems) == 0 || problems[0].Reason == "" {
				t.Fatalf("no problem with a reason: %+v", problems)
			}
			problems[0].Reason = ""
			want := Problem{Object: c.object, Field: c.field, Code: c.code}
			if diff := cmp.Diff(want, problems[0]); diff != "" {
				t.Errorf("problem differs (-want +got):\n%s", diff)
			}
		})
	}
}

// Guards against two accounts that claim the same host or declare a shared service differently.
func TestCompileRefusesConflictingAccounts(t *testing.T) {
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

// Guards against a conflict report that does not name the field that changed.
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
