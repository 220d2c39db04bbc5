package administrator

import (
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/auditor"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
)

// Guards against a refused request with the wrong code or HTTP status, without an audit entry, or with an effect.
func TestRefusalHasCodeAndAuditEntry(t *testing.T) {
	s := newTestServer(t)
	base := s.revision(t, "account.ochre")
	valid := editBody(t, "account.ochre", accountSource("ochre", "slots: 7"), base)
	mixed := encode(t, Change{Edits: []publisher.Edit{
		{Name: "account.ochre", Value: accountSource("ochre", ""), Base: base},
		{Name: "template.ledger", Value: "x", Base: 1},
	}})
	deletion := encode(t, Change{Edits: []publisher.Edit{{Name: "account.ochre", Base: base, Delete: true}}})
	digest := Digest("new")
	oversized := `{"operation":"` + strings.Repeat("x", maxBodyBytes) + `"}`
	outdated := editBody(t, "account.ochre", accountSource("ochre", ""), base+1)
	invalid := editBody(t, "account.ochre", accountSource("ochre", "slots: 0"), base)
	duplicate := encode(t, Grant{Digest: Digest(wickToken), Name: "a"})
	invalidAccount := encode(t, Grant{Digest: digest, Name: "a", Account: "/"})
	cases := []struct {
		method, path, token, body string
		status                    int
		code                      classifier.Code
	}{
		{"POST", "/v1/apply", "", valid, 401, classifier.CodeTokenMissing},
		{"POST", "/v1/apply", "wrong", valid, 401, classifier.CodeTokenMissing},
		{"POST", "/v1/apply", strings.Repeat("x", maxTokenBytes+1), valid, 401, classifier.CodeTokenMissing},
		{"GET", "/v1/status", "", "", 401, classifier.CodeTokenMissing},
		{"GET", "/metrics", "", "", 401, classifier.CodeTokenMissing},
		{"GET", "/v1/nothing", "", "", 401, classifier.CodeTokenMissing},
		{"POST", "/v1/apply", wickToken, valid, 403, classifier.CodeTokenScope},
		{"POST", "/v1/check", wickToken, valid, 403, classifier.CodeTokenScope},
		{"POST", "/v1/apply", ochreToken, mixed, 403, classifier.CodeTokenScope},
		{"POST", "/v1/apply", ochreToken, deletion, 403, classifier.CodeTokenScope},
		{"GET", "/v1/render?source=account.ochre", wickToken, "", 403, classifier.CodeTokenScope},
		{"GET", "/v1/render?source=template.ledger", wickToken, "", 403, classifier.CodeTokenScope},
		{"POST", "/v1/drain", ochreToken, "", 403, classifier.CodeTokenScope},
		{"GET", "/metrics", ochreToken, "", 403, classifier.CodeTokenScope},
		{"GET", "/v1/token", ochreToken, "", 403, classifier.CodeTokenScope},
		{"POST", "/v1/token", ochreToken, encode(t, Grant{Digest: digest, Name: "x"}), 403, classifier.CodeTokenScope},
		{"DELETE", "/v1/token?digest=" + digest, ochreToken, "", 403, classifier.CodeTokenScope},
		{"POST", "/v1/apply", ochreToken, `{"extra":1,` + valid[1:], 400, classifier.CodeBadRequest},
		{"POST", "/v1/apply", ochreToken, `{"edits":[]}`, 400, classifier.CodeBadRequest},
		{"POST", "/v1/apply", ochreToken, valid + "{}", 400, classifier.CodeBadRequest},
		{"POST", "/v1/apply", ochreToken, "", 400, classifier.CodeBadRequest},
		{"POST", "/v1/apply", ochreToken, `{"operation":"a b",` + valid[1:], 400, classifier.CodeBadRequest},
		{"POST", "/v1/apply?wait=x", ochreToken, valid, 400, classifier.CodeBadRequest},
		{"POST", "/v1/apply?later=1", ochreToken, valid, 400, classifier.CodeBadRequest},
		{"POST", "/v1/apply", ochreToken, oversized, 413, classifier.CodeTooLarge},
		{"POST", "/v1/apply", ochreToken, outdated, 409, classifier.CodeEditConflict},
		{"POST", "/v1/apply", ochreToken, invalid, 422, classifier.CodeSetRefused},
		{"POST", "/v1/check", ochreToken, invalid, 422, classifier.CodeSourceInvalid},
		{"GET", "/v1/render?source=x", bootstrapToken, "", 400, classifier.CodeBadRequest},
		{"GET", "/v1/render?source=account.none", bootstrapToken, "", 404, classifier.CodeObjectMissing},
		{"GET", "/v1/render?version=77", bootstrapToken, "", 404, classifier.CodeVersionMissing},
		{"GET", "/v1/diff", bootstrapToken, "", 400, classifier.CodeBadRequest},
		{"GET", "/v1/diff?from=77", bootstrapToken, "", 404, classifier.CodeVersionMissing},
		{"GET", "/v1/audit?limit=1001", bootstrapToken, "", 400, classifier.CodeBadRequest},
		{"GET", "/v1/audit?limit=1&limit=2", bootstrapToken, "", 400, classifier.CodeBadRequest},
		{"POST", "/v1/token", bootstrapToken, `{"digest":"x","name":"x"}`, 400, classifier.CodeBadRequest},
		{"POST", "/v1/token", bootstrapToken, encode(t, Grant{Digest: digest, Name: "A"}), 400, classifier.CodeBadRequest},
		{"POST", "/v1/token", bootstrapToken, invalidAccount, 400, classifier.CodeBadRequest},
		{"POST", "/v1/token", bootstrapToken, duplicate, 409, classifier.CodeConflict},
		{"DELETE", "/v1/token?digest=x", bootstrapToken, "", 400, classifier.CodeBadRequest},
		{"DELETE", "/v1/token?digest=" + digest, bootstrapToken, "", 404, classifier.CodeObjectMissing},
		{"GET", "/v1/apply", bootstrapToken, "", 400, classifier.CodeBadRequest},
	}
	for _, c := range cases {
		s.clock.Advance(60_000) // refills the rate limiter of audit entries
		before := len(s.auditLog.entries)
		recorder := s.send(c.method, c.path, c.token, c.body)
		if got := replyCode(t, recorder); got != c.code || recorder.Code != c.status {
			t.Errorf("%s %s: code %d, status %d; want %d, %d: %s", c.method, c.path, got, recorder.Code, c.code, c.status,
				recorder.Body)
		}
		if entry := s.auditLog.last(); len(s.auditLog.entries) != before+1 || entry.Code != c.code || entry.Reason == "" {
			t.Errorf("%s %s: %d new audit entries, the last is %+v", c.method, c.path, len(s.auditLog.entries)-before, entry)
		}
	}
	if after := s.revision(t, "account.ochre"); after != base || s.drains > 0 {
		t.Errorf("a refused request had an effect: revision %d became %d, %d drains", base, after, s.drains)
	}
}

// Guards against a conflict reply without both revisions or without the fields in which the two edits differ.
func TestConflictShowsBothRevisionsAndFields(t *testing.T) {
	s := newTestServer(t)
	base := s.revision(t, "account.ochre")
	s.expect(t, http.StatusOK, "POST", "/v1/apply", ochreToken,
		editBody(t, "account.ochre", accountSource("ochre", ""), base))
	current := s.revision(t, "account.ochre")
	text := strings.Replace(accountSource("ochre", ""), "ochre.example", "other.example", 1)
	var failure ReplyError
	outdated := editBody(t, "account.ochre", text, base)
	decode(t, s.expect(t, http.StatusConflict, "POST", "/v1/apply", ochreToken, outdated), &failure)
	if len(failure.Conflicts) != 1 || failure.Operation == "" {
		t.Fatalf("failure is %+v", failure)
	}
	conflict := failure.Conflicts[0]
	if conflict.Base != base || conflict.Current != current || conflict.Name != "account.ochre" {
		t.Errorf("conflict is %+v, want revisions %d and %d", conflict, base, current)
	}
	if len(conflict.Differences) != 1 || conflict.Differences[0].Path != "host" ||
		conflict.Differences[0].Before != "ochre.example" || conflict.Differences[0].After != "other.example" {
		t.Errorf("differences are %+v", conflict.Differences)
	}
}

// Guards against replies that reveal the name or values of another client account, also when a request reuses its
// operation id.
func TestAccountCannotSeeOtherAccounts(t *testing.T) {
	s := newTestServer(t)
	base := s.revision(t, "account.wick")
	s.expect(t, http.StatusOK, "POST", "/v1/apply", ochreToken,
		changeBody(t, "same", "account.ochre", accountSource("ochre", ""), s.revision(t, "account.ochre")))
	s.send("POST", "/v1/apply", ochreToken, editBody(t, "account.ochre", accountSource("ochre", "slots: 0"), 1))
	duplicateHost := strings.Replace(accountSource("wick", ""), "wick.example", "ochre.example", 1)
	replyTo := func(status int, method, path, body string) string {
		return s.expect(t, status, method, path, wickToken, body).Body.String()
	}
	bodies := []string{
		replyTo(422, "POST", "/v1/check", editBody(t, "account.wick", duplicateHost, base)),
		replyTo(422, "POST", "/v1/apply", changeBody(t, "same", "account.wick", duplicateHost, base)),
		replyTo(422, "POST", "/v1/apply", editBody(t, "account.wick", accountSource("wick", "slots: 9"), base)),
		replyTo(200, "GET", "/v1/status", ""),
		replyTo(200, "GET", "/v1/audit", ""),
		replyTo(200, "GET", "/v1/render", ""),
		replyTo(200, "GET", "/v1/diff?from=1", ""),
	}
	for _, body := range bodies {
		if strings.Contains(body, "account.ochre") || strings.Contains(body, `"ochre"`) {
			t.Errorf("the reply names another account: %s", body)
		}
	}
	if !strings.Contains(bodies[0], "another account") || !strings.Contains(bodies[4], "account.wick:ana") {
		t.Errorf("the account does not see its own data: %s %s", bodies[0], bodies[4])
	}
}

// Guards against a flood of refused requests that fills the audit trail or hides refusals of other classes in it.
func TestRefusalAuditIsRateLimitedPerClass(t *testing.T) {
	s := newTestServer(t)
	for range refusalBurst + 7 {
		s.send("POST", "/v1/apply", "", "")
	}
	if len(s.auditLog.entries) != refusalBurst {
		t.Fatalf("%d refusals are in the trail, want %d", len(s.auditLog.entries), refusalBurst)
	}
	s.send("POST", "/v1/drain", ochreToken, "")
	if last := s.auditLog.last(); last.Actor != "account.ochre:ana" {
		t.Fatalf("the refusal of an account is hidden: %+v", last)
	}
	s.clock.Advance(60_000)
	s.send("POST", "/v1/apply", "", "")
	want := auditor.Entry{
		Time: s.clock.Clock().Now(), Actor: "unknown", Action: "refuse POST /v1/apply", Subject: "token",
		Code: classifier.CodeTokenMissing,
		Reason: "the request has no bearer token (7 refusals before this one are not in the trail), " +
			"from 192.0.2.1",
	}
	if diff := cmp.Diff(want, s.auditLog.last()); diff != "" {
		t.Fatalf("entry differs (-want +got):\n%s", diff)
	}
}

// Guards against a request body that crashes a handler or is refused without a result code.
func FuzzBody(f *testing.F) {
	s := newTestServer(f)
	f.Add("/v1/apply", `{"operation":"a","edits":[{"name":"account.ochre","value":"x","base":1,"delete":true}]}`)
	f.Add("/v1/check", `{"edits":[{"name":"account.ochre","value":"account: ochre\nvalues: {a: [1]}","base":3}]}`)
	f.Add("/v1/check", `{"edits":[null,{"base":-1}]}`)
	f.Add("/v1/token", `{"digest":"00","name":"ana","account":"ochre"}`)
	f.Add("/v1/apply", `[[[`)
	f.Fuzz(func(t *testing.T, path, body string) {
		if path != "/v1/apply" && path != "/v1/check" && path != "/v1/token" {
			return
		}
		recorder := s.send("POST", path+"?wait=0", ochreToken, body)
		if recorder.Code >= 400 && replyCode(t, recorder) == classifier.CodeOK {
			t.Fatalf("status %d has no code: %s", recorder.Code, recorder.Body)
		}
	})
}
