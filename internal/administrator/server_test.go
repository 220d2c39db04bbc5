package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/auditor"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/comparer"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/meter"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

const (
	bootstrapToken = "bootstrap-token"
	ochreToken     = "ochre-token"
	wickToken      = "wick-token"
	templateSource = `template: ledger
parameters:
  - {name: slots, type: int, default: 6, min: 1, max: 1000}
ranks:
  - {name: urgent, order: 1, target: 200, worth: 100, share: 50}
services:
  - {name: libro-socios, zones: [vereda-alta, vereda-baja], slots: ${slots}, connections: 130}
calls:
  - {name: weigh, service: libro-socios, method: POST, path: /weigh, rank: urgent, idempotent: false, timeout: 1000}
`
)

func accountSource(name, values string) string {
	return "account: " + name + "\ntemplate: ledger\nhost: " + name + ".example\nvalues: {" + values + "}\n"
}

// testServer is an Administrator with an in-memory platform and a real publisher.
type testServer struct {
	*Administrator
	platform *faker.Platform
	clock    *timekeeper.ManualClock
	views    *fakeViews
	auditLog *memoryAuditor
	drains   int
}

// fakeViews returns the last published version as the active view. While frozen, it keeps returning the same view.
type fakeViews struct {
	publisher *publisher.Publisher
	last      *compiler.View
	frozen    bool
}

func (v *fakeViews) Active() *compiler.View {
	if v.frozen {
		return v.last
	}
	for version := uint64(20); version > 0; version-- {
		if view, err := v.publisher.Version(context.Background(), version); err == nil {
			v.last = &view
			return v.last
		}
	}
	return v.last
}
func (v *fakeViews) Ready() bool   { return v.Active() != nil }
func (v *fakeViews) Known() uint64 { return v.Active().Version }
func (v *fakeViews) Floor() uint64 { return 1 }

// memoryAuditor stores audit entries in memory.
type memoryAuditor struct {
	mutex   sync.Mutex
	entries []auditor.Entry
}

func (r *memoryAuditor) Record(_ context.Context, entry auditor.Entry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.entries = append(r.entries, entry)
}

func (r *memoryAuditor) List(_ context.Context, limit int) ([]auditor.Entry, error) {
	return r.entries[:min(limit, len(r.entries))], nil
}

func (r *memoryAuditor) last() auditor.Entry {
	if len(r.entries) == 0 {
		return auditor.Entry{}
	}
	return r.entries[len(r.entries)-1]
}

type fakeMembers struct{}

func (fakeMembers) Zone(name string) []tracker.Member {
	if name != "vereda-alta" {
		return nil
	}
	return []tracker.Member{
		{Name: "a", State: tracker.StateReady, Known: 9},
		{Name: "b", State: tracker.StateDraining},
		{Name: "c", Health: tracker.HealthFailed},
		{Name: "d", Health: tracker.HealthLeft},
		{Name: "e", Health: tracker.HealthSuspect, Known: 9},
	}
}
func (fakeMembers) Relays(string) []tracker.Member { return []tracker.Member{{Name: "a"}} }

func newTestServer(t testing.TB) *testServer {
	t.Helper()
	s := &testServer{platform: faker.NewPlatform(), clock: timekeeper.Manual(1_000_000), auditLog: &memoryAuditor{}}
	p := publisher.New(publisher.Options{
		Platform: s.platform, Clock: s.clock.Clock(), Random: rand.New(rand.NewPCG(1, 2)), Node: "libro-1",
	})
	s.views = &fakeViews{publisher: p}
	s.Administrator = New(Options{
		Platform: s.platform, Publisher: p, Auditor: s.auditLog, Views: s.views, Members: fakeMembers{}, Metrics: meter.New(),
		Marks:    func() []Mark { return []Mark{{Account: "ochre", Call: "weigh", Kind: "id", Until: 5}} },
		Draining: func() bool { return s.drains > 0 }, Drain: func() { s.drains++ },
		Node:     Node{Name: "libro-1", Zone: "vereda-alta", Service: "libro-socios"},
		Operator: Digest(bootstrapToken), Clock: s.clock.Clock(), Logger: zap.NewNop(),
	})
	for _, account := range []string{"ochre", "wick"} {
		grant := Grant{Digest: Digest(account + "-token"), Name: "ana", Account: account}
		s.expect(t, http.StatusCreated, "POST", "/v1/token", bootstrapToken, encode(t, grant))
	}
	s.expect(t, http.StatusOK, "POST", "/v1/apply", bootstrapToken, encode(t, Change{
		Operation: "first",
		Edits: []publisher.Edit{
			{Name: "template.ledger", Value: templateSource},
			{Name: "account.ochre", Value: accountSource("ochre", "")},
			{Name: "account.wick", Value: accountSource("wick", "")},
		},
	}))
	s.auditLog.entries = nil
	return s
}

func (s *testServer) send(method, path, token, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	recorder := httptest.NewRecorder()
	s.ServeHTTP(recorder, request)
	return recorder
}

func (s *testServer) expect(t testing.TB, status int, method, path, token, body string) *httptest.ResponseRecorder {
	t.Helper()
	recorder := s.send(method, path, token, body)
	if recorder.Code != status {
		t.Fatalf("%s %s: status is %d, want %d: %s", method, path, recorder.Code, status, recorder.Body)
	}
	return recorder
}

func (s *testServer) revision(t testing.TB, name string) uint64 {
	t.Helper()
	var rendered Rendered
	decode(t, s.expect(t, http.StatusOK, "GET", "/v1/render?source="+name, bootstrapToken, ""), &rendered)
	return rendered.Source.Revision
}

// editBody returns the request body of a change to one source without an operation id.
func editBody(t testing.TB, name, value string, base uint64) string {
	t.Helper()
	return changeBody(t, "", name, value, base)
}

func changeBody(t testing.TB, operation, name, value string, base uint64) string {
	t.Helper()
	return encode(t, Change{Operation: operation, Edits: []publisher.Edit{{Name: name, Value: value, Base: base}}})
}

func encode(t testing.TB, value any) string {
	t.Helper()
	content, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	return string(content)
}

func decode(t testing.TB, recorder *httptest.ResponseRecorder, target any) {
	t.Helper()
	if err := json.Unmarshal(recorder.Body.Bytes(), target); err != nil {
		t.Fatalf("%v: %s", err, recorder.Body)
	}
}

func replyCode(t testing.TB, recorder *httptest.ResponseRecorder) classifier.Code {
	t.Helper()
	var failure ReplyError
	decode(t, recorder, &failure)
	return failure.Code
}

func refuseAllCalls(connector.Platform) func(faker.Operation) faker.Fault {
	return func(faker.Operation) faker.Fault { return faker.Fault{Refuse: true} }
}

func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	var indented bytes.Buffer
	if err := json.Indent(&indented, got, "", "  "); err != nil {
		t.Fatal(err)
	}
	stable := comparer.Stable(indented.String())
	comparer.Golden(t, name, stable)
}
