package subscriber

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
)

// thousandRoutes returns a configuration of the given version with a thousand routes.
func thousandRoutes(version int) []byte {
	var text strings.Builder
	fmt.Fprintf(&text, "%d\n", version)
	for i := range 1000 {
		fmt.Fprintf(&text, `{"name":"r-%x","path":"/%x/","service":"s","timeout":2000}`, i*7919, i*104729)
	}
	return []byte(text.String())
}

// bytesOf returns the bytes that a client sent and received.
func bytesOf(client *messenger.Client) uint64 {
	totals := client.Traffic().Totals()
	return totals.SentLocal + totals.ReceivedLocal + totals.SentRemote + totals.ReceivedRemote
}

// BenchmarkWatch measures the cost of a request to a relay over TCP, with both ends in this process: without a change,
// and with a change of a configuration of a thousand routes. It reports the bytes sent and received.
func BenchmarkWatch(b *testing.B) {
	for name, change := range map[string]bool{"quiet": false, "change": true} {
		b.Run(name, func(b *testing.B) {
			relay := newSubscriber(nil, nil)
			server := messenger.NewServer(messenger.Options{Zone: "z"})
			if err := server.Register("Subscriber", relay.Receiver()); err != nil {
				b.Fatal(err)
			}
			listener, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			httpServer := &http.Server{Handler: server, ReadHeaderTimeout: fetchTimeout.Duration()}
			go func() { _ = httpServer.Serve(listener) }()
			defer func() { _ = httpServer.Close() }()
			client := messenger.NewClient(messenger.Options{Zone: "other"})
			defer client.Close()
			node := newSubscriber(nil, client)
			relay.apply(thousandRoutes(1), "platform")
			if _, err := node.fetch(context.Background(), listener.Addr().String(), 0, fetchTimeout); err != nil {
				b.Fatal(err)
			}
			bytesBefore := bytesOf(client)
			version := 1
			for b.Loop() {
				if change {
					version++
					relay.apply(thousandRoutes(version), "platform")
				}
				if _, err := node.fetch(context.Background(), listener.Addr().String(), 0, fetchTimeout); err != nil {
					b.Fatal(err)
				}
			}
			if node.Version() != uint64(version) {
				b.Errorf("version %d, not %d", node.Version(), version)
			}
			b.ReportMetric(float64(bytesOf(client)-bytesBefore)/float64(b.N), "bytes/op")
		})
	}
}
