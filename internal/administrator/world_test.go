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
	bootstrap    = "bootstrap-token"
	ochreToken   = "ochre-token"
	wickToken    = "wick-token"
	templateText = `template: ledger
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

func accountText(name, values string) string {
	return "account: " + name + "\ntemplate: ledger\nhost: " + name + ".example\nvalues: {" + values + "}\n"
}

// world is an Administrator in front of a platform in memory and a real publisher.
type world struct {
	*Administrator
	platform *faker.Platform
	manual   *timekeeper.ManualClock
	views    *views
	audited  *record
	drained  int
}

// views is the configuration in force: the last published version, unless it is held back.
type views struct {
	publisher *publisher.Publisher
	held      *compiler.View
	hold      bool
}

func (v *views) Active() *compiler.View {
	if v.hold {
		return v.held
	}
	for version := uint64(20); version > 0; version-- {
		if view, err := v.publisher.Version(context.Background(), version); err == nil {
			v.held = &view
			return v.held
		}
	}
	return v.held
}
func (v *views) Ready() bool   { return v.Active() != nil }
func (v *views) Known() uint64 { return v.Active().Version }
func (v *views) Floor() uint64 { return 1 }

// record keeps audit entries.
type record struct {
	mutex   sync.Mutex
	entries []auditor.Entry
}

func (r *record) Record(_ context.Context, entry auditor.Entry) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.entries = append(r.entries, entry)
}

func (r *record) List(_ context.Context, limit int) ([]auditor.Entry, error) {
	return r.entries[:min(limit, len(r.entries))], nil
}

func (r *record) last() auditor.Entry {
	if len(r.entries) == 0 {
		return auditor.Entry{}
	}
	return r.entries[len(r.entries)-1]
}

type members struct{}

func (members) Zone(name string) []tracker.Member {
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
func (members) Relays(string) []tracker.Member { return []tracker.Member{{Name: "a"}} }

func newWorld(t testing.TB) *world {
	t.Helper()
	w := &world{platform: faker.NewPlatform(), manual: timekeeper.Manual(1_000_000), audited: &record{}}
	p := publisher.New(publisher.Options{
		Platform: w.platform, Clock: w.manual.Clock(), Random: rand.New(rand.NewPCG(1, 2)), Node: "libro-1",
	})
	w.views = &views{publisher: p}
	w.Administrator = New(Options{
		Platform: w.platform, Publisher: p, Auditor: w.audited, Views: w.views, Members: members{}, Metrics: meter.New(),
		Marks:    func() []Mark { return []Mark{{Account: "ochre", Call: "weigh", Kind: "id", Until: 5}} },
		Draining: func() bool { return w.drained > 0 }, Drain: func() { w.drained++ },
		Node:     Node{Name: "libro-1", Zone: "vereda-alta", Service: "libro-socios"},
		Operator: Digest(bootstrap), Clock: w.manual.Clock(), Logger: zap.NewNop(),
	})
	for _, account := range []string{"ochre", "wick"} {
		grant := Grant{Digest: Digest(account + "-token"), Name: "ana", Account: account}
		w.expect(t, http.StatusCreated, "POST", "/v1/token", bootstrap, encode(t, grant))
	}
	w.expect(t, http.StatusOK, "POST", "/v1/apply", bootstrap, encode(t, Change{
		Operation: "first",
		Edits: []publisher.Edit{
			{Name: "template.ledger", Value: templateText},
			{Name: "account.ochre", Value: accountText("ochre", "")},
			{Name: "account.wick", Value: accountText("wick", "")},
		},
	}))
	w.audited.entries = nil
	return w
}

func (w *world) send(method, path, token, body string) *httptest.ResponseRecorder {
	request := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	recorder := httptest.NewRecorder()
	w.ServeHTTP(recorder, request)
	return recorder
}

func (w *world) expect(t testing.TB, status int, method, path, token, body string) *httptest.ResponseRecorder {
	t.Helper()
	recorder := w.send(method, path, token, body)
	if recorder.Code != status {
		t.Fatalf("%s %s: status is %d, want %d: %s", method, path, recorder.Code, status, recorder.Body)
	}
	return recorder
}

func (w *world) revision(t testing.TB, name string) uint64 {
	t.Helper()
	var rendered Rendered
	decode(t, w.expect(t, http.StatusOK, "GET", "/v1/render?source="+name, bootstrap, ""), &rendered)
	return rendered.Source.Revision
}

// edit returns the body of a change of one source without an operation id.
func edit(t testing.TB, name, value string, base uint64) string {
	t.Helper()
	return named(t, "", name, value, base)
}

func named(t testing.TB, operation, name, value string, base uint64) string {
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

func codeIn(t testing.TB, recorder *httptest.ResponseRecorder) classifier.Code {
	t.Helper()
	var failure ReplyError
	decode(t, recorder, &failure)
	return failure.Code
}

func down(connector.Platform) func(faker.Operation) faker.Fault {
	return func(faker.Operation) faker.Fault { return faker.Fault{Refuse: true} }
}

func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	var indented bytes.Buffer
	if err := json.Indent(&indented, got, "", "  "); err != nil {
		t.Fatal(err)
	}
	shown := comparer.Stable(indented.String())
	comparer.Golden(t, name, shown)
}
