package commander

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/administrator"
	"github.com/jasmineproxy/jasmineproxy/internal/auditor"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/comparer"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/meter"
	"github.com/jasmineproxy/jasmineproxy/internal/publisher"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// fakeNode is a fake of the parts of a node that the administration API uses.
type fakeNode struct {
	publisher  *publisher.Publisher
	entries    []auditor.Entry
	stale      bool // Active returns an empty view
	drainCalls int
}

func (n *fakeNode) Active() *compiler.View {
	head, err := n.publisher.Head(context.Background())
	if err != nil || n.stale {
		return &compiler.View{}
	}
	view, err := n.publisher.Version(context.Background(), head.Version)
	if err != nil {
		return nil
	}
	return &view
}
func (n *fakeNode) Ready() bool   { return true }
func (n *fakeNode) Known() uint64 { return n.Active().Version }
func (n *fakeNode) Floor() uint64 { return 0 }
func (n *fakeNode) Zone(string) []tracker.Member {
	return []tracker.Member{{Name: "a", State: tracker.StateReady}}
}
func (n *fakeNode) Relays(string) []tracker.Member { return []tracker.Member{{Name: "a"}} }
func (n *fakeNode) Record(_ context.Context, entry auditor.Entry) {
	n.entries = append(n.entries, entry)
}

func (n *fakeNode) List(context.Context, int) ([]auditor.Entry, error) {
	return n.entries, nil
}

func startNode(t *testing.T) (*fakeNode, *httptest.Server) {
	t.Helper()
	platform, clock := faker.NewPlatform(), timekeeper.Manual(1_000_000).Clock()
	n := &fakeNode{}
	n.publisher = publisher.New(publisher.Options{
		Platform: platform, Clock: clock, Random: rand.New(rand.NewPCG(1, 2)), Node: "libro-1",
	})
	server := httptest.NewServer(administrator.New(administrator.Options{
		Platform: platform, Publisher: n.publisher, Auditor: n, Views: n, Members: n, Metrics: meter.New(),
		Marks: func() []administrator.Mark {
			return []administrator.Mark{{Account: "ochre", Call: "weigh", Kind: "id", Until: 2_000_000}}
		},
		Draining: func() bool { return n.drainCalls > 0 }, Drain: func() { n.drainCalls++ },
		Node:     administrator.Node{Name: "libro-1", Zone: "vereda-alta", Service: "libro-socios"},
		Operator: administrator.Digest("secret"), Clock: clock, Logger: zap.NewNop(),
	}))
	t.Cleanup(server.Close)
	return n, server
}

// Guards against unintended changes of the printed output and the exit codes in a session of an operator: first
// change, edit, repeated operation, conflict, status, audit, tokens and drain.
func TestOperatorSession(t *testing.T) {
	_, server := startNode(t)
	directory := t.TempDir()
	edited := filepath.Join(directory, "account.ochre.yaml")
	edit := func(from, to string) {
		content, err := os.ReadFile(edited)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(edited, []byte(strings.Replace(string(content), from, to, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	var transcript strings.Builder
	run := func(arguments string) string {
		s := newSession("JASMINE_NODE="+server.URL, "JASMINE_TOKEN=secret")
		code := s.execute(t, strings.Fields(arguments)...)
		printed := s.output.String() + s.errors.String()
		shown := strings.NewReplacer(server.URL, "URL", directory, "DIR").Replace("$ " + arguments + "\n" + printed)
		transcript.WriteString(shown + "exit " + strconv.Itoa(code) + "\n")
		return s.output.String()
	}
	run("apply --operation first testdata/template.ledger.yaml testdata/account.ochre.yaml")
	if err := os.WriteFile(edited, []byte(run("render --source account.ochre")), 0o600); err != nil {
		t.Fatal(err)
	}
	edit("vereda-baja]", "vereda-baja], slots: 7")
	run("apply --dry " + edited)
	run("apply --operation second " + edited)
	run("apply --operation second " + edited)
	run("render --diff 1")
	edit("slots: 7", "slots: 8")
	run("apply --operation third " + edited)
	run("apply --operation fourth --output json " + edited)
	edit("slots: 8", "slots: 0")
	run("apply --operation fifth --base account.ochre=1 " + edited)
	run("apply --operation sixth --delete account.ochre")
	run("render")
	run("render --version 9")
	run("status")
	run("audit")
	run("token list")
	run("token revoke " + strings.Repeat("0", 64))
	run("drain")
	run("status --output json")
	comparer.Golden(t, "session.golden", comparer.Stable(transcript.String()))
}

// Guards against a token that the client sends to the node on creation instead of its digest, and against a created
// token that is not accepted or cannot be revoked.
func TestTokenCommands(t *testing.T) {
	_, server := startNode(t)
	run := func(token string, want int, arguments ...string) string {
		t.Helper()
		s := newSession("JASMINE_NODE="+server.URL, "JASMINE_TOKEN="+token)
		if code := s.execute(t, arguments...); code != want {
			t.Fatalf("%v: exit code is %d: %s", arguments, code, s.errors.String())
		}
		return s.output.String()
	}
	fields := strings.Fields(run("secret", exitOK, "token", "create", "--name", "ana", "--account", "ochre"))
	token, digest := fields[1], fields[3]
	if administrator.Digest(token) != digest {
		t.Fatalf("the digest of %s is not %s", token, digest)
	}
	path := filepath.Join(t.TempDir(), "token")
	if err := os.WriteFile(path, []byte(token+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	run("wrong", exitOK, "status", "--token-file", path)
	run(token, 14, "drain")
	if list := run("secret", exitOK, "token", "list"); strings.Contains(list, token) || !strings.Contains(list, digest) {
		t.Fatalf("list is %s", list)
	}
	run("secret", exitOK, "token", "revoke", digest)
	run(token, 14, "status")
	if other := strings.Fields(run("", exitOK, "token", "new"))[1]; other == token {
		t.Fatal("two tokens are the same")
	}
}

// Guards against success for an accepted version that is not yet active, a lost response without the hint to repeat
// the operation, and that hint after a failed dial, which sent nothing.
func TestApplyReportsUncertainResult(t *testing.T) {
	n, server := startNode(t)
	n.stale = true
	s := newSession("JASMINE_NODE="+server.URL, "JASMINE_TOKEN=secret")
	arguments := []string{"apply", "--wait", "1", "--operation", "one", "testdata/template.ledger.yaml"}
	if code := s.execute(t, arguments...); code != 11 || !strings.Contains(s.errors.String(), "code 111") ||
		!strings.Contains(s.output.String(), "accepted version 1") {
		t.Fatalf("exit code is %d: %s%s", code, s.output.String(), s.errors.String())
	}
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(broken.Close)
	for address, want := range map[string]bool{broken.URL: true, "http://127.0.0.1:1": false} {
		s = newSession("JASMINE_NODE=" + address)
		if code := s.execute(t, arguments...); code != 13 || strings.Contains(s.errors.String(), "--operation one") != want {
			t.Fatalf("%s: exit code is %d: %s", address, code, s.errors.String())
		}
	}
}

// Guards against a malformed response that is taken for the confirmation of a node.
func TestMalformedResponseIsNoConfirmation(t *testing.T) {
	for name, head := range faker.MalformedHeads() {
		server := httptest.NewServer(faker.Raw(head + "Content-Length: 2\r\n\r\n{}"))
		s := newSession("JASMINE_NODE=" + server.URL)
		if code := s.execute(t, "drain"); code != 13 {
			t.Errorf("%s: exit code is %d: %s%s", name, code, s.output.String(), s.errors.String())
		}
		server.Close()
		const rest = "Content-Length: 2\r\n\r\n{}"
		server = httptest.NewServer(faker.Second("HTTP/1.1 200 OK\r\n"+rest, head+rest))
		c := &client{base: server.URL, timeout: 10 * timekeeper.Second}
		for i, want := range []classifier.Code{classifier.CodeOK, classifier.CodePeerClosed} {
			if err := c.call(t.Context(), http.MethodPost, "/", nil, nil); classifier.CodeOf(err) != want {
				t.Errorf("%s: error of answer %d: %v", name, i+1, err)
			}
		}
		server.Close()
	}
}

// Guards against a cut response that is taken for the confirmation of a node, which resets the connection while the
// request is still being written.
func TestResetDuringRequestIsNoConfirmation(t *testing.T) {
	server, err := faker.NewCutServer(faker.CutOptions{Answer: "HTTP/1.1 200 OK\r\n\r\n{}"})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	before := httpClient
	httpClient = newHTTPClient(server.Dial)
	defer func() { httpClient = before }()
	c := &client{base: "http://" + server.Address(), timeout: 10 * timekeeper.Second}
	err = c.call(t.Context(), http.MethodPost, "/", make([]byte, 1<<20), nil)
	if classifier.CodeOf(err) != classifier.CodePeerClosed {
		t.Errorf("error %v", err)
	}
}

// Guards against terminal injection: an unauthenticated request puts control characters into the audit trail, which
// the audit command prints.
func TestOutputHasNoControlCharacters(t *testing.T) {
	n, server := startNode(t)
	n.entries = []auditor.Entry{{Actor: "unknown", Action: "refuse GET /\x1b[2J\nfalse line", Code: 401}}
	s := newSession("JASMINE_NODE="+server.URL, "JASMINE_TOKEN=secret")
	s.execute(t, "audit")
	if strings.ContainsRune(s.output.String(), '\x1b') || strings.Count(s.output.String(), "\n") != 1 {
		t.Fatalf("output is %q", s.output.String())
	}
}
