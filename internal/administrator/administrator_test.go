package administrator

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"github.com/jasmineproxy/jasmineproxy/internal/auditor"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against a change without an audit entry, or one that names the wrong actor or versions.
func TestEachChangeIsAudited(t *testing.T) {
	w := newWorld(t)
	grant := Grant{Digest: Digest("new"), Name: "luz", Account: "ochre"}
	w.expect(t, http.StatusCreated, "POST", "/v1/token", bootstrap, encode(t, grant))
	body := named(t, "second", "account.ochre", accountText("ochre", ""), w.revision(t, "account.ochre"))
	for range 2 { // a repeated apply has no further effect
		var accepted Accepted
		decode(t, w.expect(t, http.StatusOK, "POST", "/v1/apply", "new", body), &accepted)
		if accepted.Version != 1 || accepted.Operation != Digest("ochre")[:12]+"-second" || accepted.Digest == "" {
			t.Fatalf("accepted is %+v", accepted)
		}
	}
	w.expect(t, http.StatusNoContent, "DELETE", "/v1/token?digest="+grant.Digest, bootstrap, "")
	w.expect(t, http.StatusAccepted, "POST", "/v1/drain", bootstrap, "")
	if w.drained != 1 {
		t.Errorf("drain was started %d times", w.drained)
	}
	digest := "digest " + grant.Digest
	operation := "operation " + Digest("ochre")[:12] + "-second"
	want := []auditor.Entry{
		{Actor: "operator:bootstrap", Action: "create token", Subject: "account.ochre:luz", Reason: digest},
		{Actor: "account.ochre:luz", Action: "apply", Subject: "account.ochre", From: 1, To: 1, Reason: operation},
		{Actor: "account.ochre:luz", Action: "apply", Subject: "account.ochre", From: 1, To: 1, Reason: operation},
		{Actor: "operator:bootstrap", Action: "revoke token", Subject: "account.ochre:luz", Reason: digest},
		{Actor: "operator:bootstrap", Action: "drain", Subject: "libro-1"},
	}
	if diff := cmp.Diff(want, w.audited.entries, cmpopts.IgnoreFields(auditor.Entry{}, "Time")); diff != "" {
		t.Fatalf("entries differ (-want +got):\n%s", diff)
	}
}

// Guards against a revoked token that keeps working on the node that revoked it, or on another after the fresh age.
func TestRevokedTokenIsRefused(t *testing.T) {
	w := newWorld(t)
	other := newKeeper(w.platform, w.manual.Clock(), "")
	if _, err := other.identify(t.Context(), ochreToken); err != nil {
		t.Fatal(err)
	}
	w.expect(t, http.StatusOK, "GET", "/v1/status", ochreToken, "")
	w.expect(t, http.StatusNoContent, "DELETE", "/v1/token?digest="+Digest(ochreToken), bootstrap, "")
	w.expect(t, http.StatusUnauthorized, "GET", "/v1/status", ochreToken, "")
	w.manual.Advance(freshAge)
	if _, err := other.identify(t.Context(), ochreToken); classifier.CodeOf(err) != classifier.CodeTokenMissing {
		t.Fatalf("error is %v", err)
	}
}

// Guards against operators who are locked out of status while the platform is down, and a cache without an end.
func TestOutageKeepsKnownTokens(t *testing.T) {
	w := newWorld(t)
	w.expect(t, http.StatusOK, "GET", "/v1/status", ochreToken, "")
	w.platform.SetFault(down(w.platform))
	w.views.hold = true
	w.manual.Advance(freshAge + 1)
	calls := w.platform.Calls()["get"]
	for range 5 {
		var status Status
		decode(t, w.expect(t, http.StatusOK, "GET", "/v1/status", ochreToken, ""), &status)
		if status.Platform != classifier.CodeUnavailable || status.Active != 1 {
			t.Fatalf("status is %+v", status)
		}
	}
	if asked := w.platform.Calls()["get"] - calls - 5; asked != 1 { // each status reads the refusals
		t.Errorf("the platform was asked %d times for the token, want 1", asked)
	}
	w.expect(t, http.StatusServiceUnavailable, "GET", "/v1/status", wickToken+"x", "")
	w.manual.Advance(staleAge)
	w.expect(t, http.StatusServiceUnavailable, "GET", "/v1/status", ochreToken, "")
	w.expect(t, http.StatusOK, "GET", "/v1/status", bootstrap, "")
	w.platform.SetFault(nil)
	w.expect(t, http.StatusOK, "GET", "/v1/status", ochreToken, "")
}

// Guards against strangers who use up the node's platform calls with made-up tokens.
func TestUnknownTokensCostFewPlatformCalls(t *testing.T) {
	w := newWorld(t)
	before := w.platform.Calls()["get"]
	for i := range 100 {
		w.send("GET", "/v1/status", strings.Repeat("x", i+1), "")
	}
	if calls := w.platform.Calls()["get"] - before; calls > unknownBurst {
		t.Fatalf("100 unknown tokens cost %d platform calls", calls)
	}
	w.manual.Advance(timekeeper.Minute)
	w.expect(t, http.StatusUnauthorized, "GET", "/v1/status", "another", "")
}

// Guards against a stored token that cannot be read and would count as an operator's.
func TestUnreadableTokenGrantsNothing(t *testing.T) {
	contents := []string{
		"", "{}", `{"format":1}`, `{"format":2,"name":"ana"}`, `{"format":1,"name":"ana","admin":true}`,
	}
	for _, content := range contents {
		if token, err := decodeToken([]byte(content)); classifier.CodeOf(err) != classifier.CodePlatformReply {
			t.Errorf("%q gives %+v, %v", content, token, err)
		}
	}
}

// Guards against an apply that counts as in force while the node still runs the version before.
func TestApplyWaitsUntilInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		w.views.Active()
		w.views.hold = true
		text := strings.Replace(accountText("ochre", ""), "ochre.example", "new.example", 1)
		var accepted Accepted
		decode(t, w.expect(t, http.StatusAccepted, "POST", "/v1/apply?wait=500", bootstrap,
			edit(t, "account.ochre", text, w.revision(t, "account.ochre"))), &accepted)
		if accepted.Version != 2 || accepted.Code != classifier.CodeEditNotInForce {
			t.Fatalf("accepted is %+v", accepted)
		}
		w.views.hold = false
		if !w.awaitVersion(t.Context(), 2, 500) || w.awaitVersion(t.Context(), 3, 500) {
			t.Fatal("the wait does not follow the version in force")
		}
	})
}

// Guards against an apply in an outage that is reported without its operation id, which the repeat needs.
func TestApplyInOutageNamesItsOperation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		body := edit(t, "account.ochre", accountText("ochre", ""), 1)
		w.platform.SetFault(func(operation faker.Operation) faker.Fault {
			return faker.Fault{Refuse: operation.Kind == connector.KindSource}
		})
		var failure ReplyError
		decode(t, w.expect(t, http.StatusServiceUnavailable, "POST", "/v1/apply", bootstrap, body), &failure)
		if failure.Code != classifier.CodeUnavailable || failure.Operation == "" {
			t.Fatalf("failure is %+v", failure)
		}
	})
}

// Guards against a change of the answers that clients and operators read.
func TestAnswers(t *testing.T) {
	w := newWorld(t)
	text := strings.Replace(accountText("ochre", ""), "ochre.example", "new.example", 1)
	w.expect(t, http.StatusOK, "POST", "/v1/apply", bootstrap,
		named(t, "host", "account.ochre", text, w.revision(t, "account.ochre")))
	w.send("POST", "/v1/apply", ochreToken, named(t, "late", "account.ochre", text, 1))
	for name, path := range map[string]string{
		"status.json": "/v1/status", "diff.json": "/v1/diff?from=1&to=2", "render.json": "/v1/render?version=1",
		"source.json": "/v1/render?source=account.ochre", "tokens.json": "/v1/token",
	} {
		compareGolden(t, name, w.expect(t, http.StatusOK, "GET", path, bootstrap, "").Body.Bytes())
	}
	again := edit(t, "account.ochre", text, w.revision(t, "account.ochre"))
	w.expect(t, http.StatusOK, "POST", "/v1/check", ochreToken, again)
	metrics := w.expect(t, http.StatusOK, "GET", "/metrics", bootstrap, "").Body.String()
	if want := "jasmine_administrator_refused{code=\"105\"} 1\n"; metrics != want {
		t.Errorf("metrics are %q, want %q", metrics, want)
	}
	w.expect(t, http.StatusOK, "GET", "/healthz", "", "")
	w.drained++
	w.expect(t, http.StatusServiceUnavailable, "GET", "/healthz", "", "")
}
