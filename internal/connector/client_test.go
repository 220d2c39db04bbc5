package connector_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/bubbler"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/connector"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/verifier"
)

func newClient(t *testing.T, handler http.Handler) *connector.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return connector.NewClient(connector.Options{
		URL: server.URL + "/", Rate: 1000, Burst: 100, Timeout: 5 * timekeeper.Second,
	})
}

func expect(t *testing.T, step string, want classifier.Code, err error) {
	t.Helper()
	if (err == nil) != (want == classifier.CodeOK) || classifier.CodeOf(err) != want {
		t.Fatalf("%s: error is %v, not code %d", step, err, want)
	}
}

// Guards against a client that loses a revision, a precondition, a deletion or an unusual name over HTTP.
func TestClientKeepsConditionsOverHTTP(t *testing.T) {
	client := newClient(t, faker.Handler(faker.NewPlatform()))
	ctx := t.Context()
	object := connector.Object{Kind: "source", Name: "account.a b/ü?", Value: []byte("one")}
	_, err := client.Get(ctx, object.Kind, object.Name)
	expect(t, "get of a missing object", classifier.CodeObjectMissing, err)
	created, err := client.Put(ctx, object)
	expect(t, "create", classifier.CodeOK, err)
	_, err = client.Put(ctx, object)
	expect(t, "second create", classifier.CodeConflict, err)
	object.Revision, object.Value = created, []byte{}
	updated, err := client.Put(ctx, object)
	expect(t, "update to an empty value", classifier.CodeOK, err)
	_, err = client.Put(ctx, object)
	expect(t, "update of an old revision", classifier.CodeConflict, err)
	object.Revision = updated
	got, err := client.Get(ctx, object.Kind, object.Name)
	expect(t, "get", classifier.CodeOK, err)
	if diff := cmp.Diff(object, got); diff != "" {
		t.Fatalf("object differs (-want +got):\n%s", diff)
	}
	expect(t, "delete of an old revision", classifier.CodeConflict,
		client.Delete(ctx, object.Kind, object.Name, created))
	expect(t, "delete", classifier.CodeOK, client.Delete(ctx, object.Kind, object.Name, updated))
	listed, err := client.List(ctx, object.Kind)
	expect(t, "list", classifier.CodeOK, err)
	if diff := cmp.Diff(connector.Snapshot{Era: 1, Revision: 3, Objects: []connector.Object{}}, listed); diff != "" {
		t.Errorf("list differs (-want +got):\n%s", diff)
	}
	watched, err := client.Watch(ctx, object.Kind, updated, timekeeper.Minute)
	expect(t, "watch", classifier.CodeOK, err)
	want := connector.Snapshot{Era: 1, Revision: 3, Objects: []connector.Object{
		{Kind: object.Kind, Name: object.Name, Revision: 3, Deleted: true},
	}}
	if diff := cmp.Diff(want, watched); diff != "" {
		t.Errorf("watch differs (-want +got):\n%s", diff)
	}
}

// Guards against a watch that misses a change made while it waits, or that does not end after its wait.
func TestClientWatchWaits(t *testing.T) {
	platform := faker.NewPlatform()
	client := newClient(t, faker.Handler(platform))
	empty, err := client.Watch(t.Context(), "head", 0, 1)
	expect(t, "watch without changes", classifier.CodeOK, err)
	if len(empty.Objects) != 0 {
		t.Fatalf("unexpected changes %+v", empty)
	}
	done := make(chan connector.Snapshot, 1)
	go func() {
		snapshot, _ := client.Watch(context.WithoutCancel(t.Context()), "head", 0, 30*timekeeper.Second)
		done <- snapshot
	}()
	_, err = platform.Put(t.Context(), connector.Object{Kind: "head", Name: "head", Value: []byte("x")})
	expect(t, "put", classifier.CodeOK, err)
	if snapshot := <-done; len(snapshot.Objects) != 1 || string(snapshot.Objects[0].Value) != "x" {
		t.Errorf("unexpected changes %+v", snapshot)
	}
}

// Guards against errors with the wrong code, by which callers decide whether to retry.
func TestClientMapsFailures(t *testing.T) {
	platform := faker.NewPlatform()
	platform.SetFault(func(o faker.Operation) faker.Fault {
		return faker.Fault{Refuse: o.Name == "missing", Lose: o.Name == "head"}
	})
	client := newClient(t, faker.Handler(platform))
	_, err := client.Get(t.Context(), "head", "missing")
	expect(t, "outage", classifier.CodeUnavailable, err)
	object := connector.Object{Kind: "head", Name: "head", Value: []byte("x")}
	_, err = client.Put(t.Context(), object)
	expect(t, "lost response", classifier.CodeUnavailable, err)
	platform.SetFault(nil)
	_, err = client.Put(t.Context(), object)
	expect(t, "repeat of a write that took effect", classifier.CodeConflict, err)
	object.Value = make([]byte, connector.MaxValueBytes+1)
	_, err = client.Put(t.Context(), object)
	expect(t, "too large", classifier.CodeTooLarge, err)
	responses := map[string]struct {
		status int
		body   string
		want   classifier.Code
	}{
		"rate limit":   {http.StatusTooManyRequests, "", classifier.CodeRateLimited},
		"server error": {http.StatusInternalServerError, "", classifier.CodeUnavailable},
		"not JSON":     {http.StatusOK, "{", classifier.CodePlatformReply},
	}
	for name, response := range responses {
		broken := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(response.status)
			_, _ = w.Write([]byte(response.body))
		}))
		_, err := broken.List(t.Context(), "head")
		expect(t, name, response.want, err)
		if response.status == http.StatusOK {
			_, err = broken.Get(t.Context(), "head", "head")
			expect(t, "response without a revision", classifier.CodePlatformReply, err)
		}
	}
}

// Guards against a malformed response that confirms a write or is read, also as the second one on a connection.
func TestClientRejectsMalformedResponses(t *testing.T) {
	const rest = "ETag: \"7\"\r\nContent-Length: 0\r\n\r\n"
	for name, head := range faker.MalformedHeads() {
		client := newClient(t, faker.Raw(head+rest))
		for method, call := range clientCalls(client) {
			expect(t, name+", "+method, classifier.CodeUnavailable, call(t.Context()))
		}
		for method := range clientCalls(client) {
			kept := newClient(t, faker.Second("HTTP/1.1 200 OK\r\n"+rest, head+rest))
			expect(t, "first answer", classifier.CodeOK, kept.Delete(t.Context(), "head", "head", 7))
			expect(t, name+", second answer, "+method, classifier.CodeUnavailable, clientCalls(kept)[method](t.Context()))
		}
	}
}

// clientCalls returns the calls of a client by their names.
func clientCalls(client *connector.Client) map[string]func(ctx context.Context) error {
	return map[string]func(ctx context.Context) error{
		"get": func(ctx context.Context) error {
			_, err := client.Get(ctx, "head", "head")
			return err
		},
		"list": func(ctx context.Context) error {
			_, err := client.List(ctx, "head")
			return err
		},
		"watch": func(ctx context.Context) error {
			_, err := client.Watch(ctx, "head", 7, 0)
			return err
		},
		"put": func(ctx context.Context) error {
			_, err := client.Put(ctx, connector.Object{Kind: "head", Name: "head", Value: []byte("x")})
			return err
		},
		"delete": func(ctx context.Context) error { return client.Delete(ctx, "head", "head", 7) },
	}
}

// Guards against a write that a cut response confirms: the platform resets the connection while the value is still
// being written, and the write takes the error that the read of the response should see. It is the first write on the
// connection, or the second.
func TestResetDuringWriteConfirmsNothing(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nETag: \"7\"\r\n"
	object := connector.Object{Kind: "head", Name: "head", Value: make([]byte, connector.MaxValueBytes)}
	for _, first := range []string{"", head + "Content-Length: 0\r\n\r\n"} {
		server, err := faker.NewCutServer(faker.CutOptions{First: first, Answer: head + "\r\n{"})
		if err != nil {
			t.Fatal(err)
		}
		client := connector.NewClient(connector.Options{
			URL: "http://" + server.Address(), Rate: 10, Burst: 10, Timeout: 10 * timekeeper.Second, Dial: server.Dial,
		})
		if first != "" {
			_, err = client.Put(t.Context(), object)
			expect(t, "first write", classifier.CodeOK, err)
		}
		_, err = client.Put(t.Context(), object)
		expect(t, "reset during a write", classifier.CodeUnavailable, err)
		server.Close()
	}
}

// Guards against a head without end that is kept in memory.
func TestHeadOfResponseIsBounded(t *testing.T) {
	const limit = 100 * verifier.MaxHead
	var sent atomic.Int64
	_, err := newClient(t, faker.EndlessHead(limit, &sent)).Get(t.Context(), "head", "head")
	expect(t, "endless head", classifier.CodeUnavailable, err)
	if sent.Load() == 0 || sent.Load() >= limit {
		t.Errorf("%d bytes of a head were read", sent.Load())
	}
}

// Guards against a node that exceeds its share of the platform's rate limit.
func TestClientRateLimitRefusesExcess(t *testing.T) {
	platform := faker.NewPlatform()
	server := httptest.NewServer(faker.Handler(platform))
	t.Cleanup(server.Close)
	client := connector.NewClient(connector.Options{URL: server.URL, Rate: 0.001, Burst: 2, Timeout: timekeeper.Second})
	for range 2 {
		_, err := client.List(t.Context(), "head")
		expect(t, "call within the burst", classifier.CodeOK, err)
	}
	_, err := client.List(t.Context(), "head")
	expect(t, "call over the rate", classifier.CodeRateLimited, err)
	if diff := cmp.Diff(map[string]int{"list": 2}, platform.Calls()); diff != "" {
		t.Errorf("calls differ (-want +got):\n%s", diff)
	}
}

// Guards against calls that time out one after the other because all kept connections to the platform went silent.
func TestCallsAfterConnectionsGoSilent(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		network, platform := faker.NewNetwork(), faker.NewPlatform()
		platform.SetFault(func(faker.Operation) faker.Fault { return faker.Fault{Delay: 10} }) // so that calls overlap
		server := &http.Server{Handler: faker.Handler(platform), ReadHeaderTimeout: time.Minute}
		listener := network.Listen("server")
		go func() { _ = server.Serve(listener) }()
		link := faker.NewLink(faker.LinkOptions{}, func(ctx context.Context) (net.Conn, error) {
			return network.Dial(ctx, "tcp", "server")
		})
		ctx, cancel := context.WithCancel(t.Context())
		go link.Serve(ctx, network.Listen("platform:1"))
		client := connector.NewClient(connector.Options{
			URL: "http://platform:1", Rate: 1000, Burst: 100, Timeout: timekeeper.Second, Dial: network.Dial,
		})
		var group sync.WaitGroup
		for range 3 {
			group.Go(func() { _, _ = client.List(ctx, connector.KindHead) })
		}
		group.Wait()
		link.Silence()
		failures := 0
		for range 4 {
			if _, err := client.List(ctx, connector.KindHead); err != nil {
				failures++
			}
		}
		if failures != 1 {
			t.Errorf("%d calls failed, not 1", failures)
		}
		cancel()
		_ = server.Close()
		<-time.After(time.Minute) // lets idle connections end
	})
}

// Guards against a write that reaches the platform more than once because the client follows a redirection.
func TestClientFollowsNoRedirection(t *testing.T) {
	received := 0
	client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received++
		w.Header().Set("Location", r.URL.Path)
		w.WriteHeader(http.StatusTemporaryRedirect)
	}))
	_, err := client.Put(t.Context(), connector.Object{Kind: "lease", Name: "publisher", Value: []byte("one")})
	expect(t, "create", classifier.CodeUnavailable, err)
	if received != 1 {
		t.Errorf("the write was sent %d times", received)
	}
}
