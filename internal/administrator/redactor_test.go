package administrator

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
)

// Guards against an account that receives problems and conflicts in the sources of another account.
func TestRedactorHidesOtherAccounts(t *testing.T) {
	reply := ReplyError{
		Subject: "account.ochre", Reason: "host belongs to account.ochre-2",
		Problems: []compiler.Problem{
			{Object: "account.ochre", Reason: "x"},
			{Object: "template.ledger", Reason: "x"},
			{Object: "account.wick", Reason: "service differs from the one declared by account.ochre"},
		},
		Conflicts: []publisher.Conflict{{Name: "account.ochre"}, {Name: "account.wick", Base: 1, Current: 2}},
	}
	newRedactor(Principal{Account: "wick"}).redactError(&reply)
	want := ReplyError{
		Subject: "another account", Reason: "host belongs to another account",
		Problems: []compiler.Problem{
			{Object: "account.wick", Reason: "service differs from the one declared by another account"},
		},
		Conflicts: []publisher.Conflict{{Name: "account.wick", Base: 1, Current: 2}},
	}
	if diff := cmp.Diff(want, reply); diff != "" {
		t.Fatalf("reply differs (-want +got):\n%s", diff)
	}
}
