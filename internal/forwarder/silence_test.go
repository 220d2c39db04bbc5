package forwarder

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
)

// Guards against requests that wait until their deadline one after the other, because all kept connections to the
// upstream went silent at once and new ones work.
func TestUpstreamConnectionsGoSilent(t *testing.T) {
	var link *faker.Link
	adjust := func(o *Options) {
		if o.Upstream == "" {
			return
		}
		o.Prober = nil
		dial, address := o.Dial, o.Upstream
		link = faker.NewLink(plainLink, func(ctx context.Context) (net.Conn, error) { return dial(ctx, "tcp", address) })
		o.Dial = func(ctx context.Context, network, _ string) (net.Conn, error) { return dial(ctx, network, "link:1") }
	}
	inBubble(t, adjust, plainLink, []faker.UpstreamOptions{withServiceTime(50)}, func(t *testing.T, m *mesh) {
		ctx, cancel := context.WithCancel(t.Context())
		go link.Serve(ctx, m.network.Listen("link:1"))
		var group sync.WaitGroup
		for range 3 { // requests at the same time open a connection each
			group.Go(func() { m.send(t.Context(), http.MethodPost, "/book", "x") })
		}
		group.Wait()
		link.Silence()
		failures := 0
		for range 4 {
			if outcomeOf(m.send(t.Context(), http.MethodPost, "/book", "x")) != classifier.OutcomeAnswered {
				failures++
			}
		}
		if failures != 1 {
			t.Errorf("%d requests failed, not 1", failures)
		}
		cancel()
		<-time.After(time.Minute) // lets connections end
	})
}
