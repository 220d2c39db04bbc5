package forwarder

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/messenger"
	"github.com/jasmineproxy/jasmineproxy/internal/router"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

func listen(b *testing.B, handler http.Handler) string {
	b.Helper()
	listener, err := (&net.ListenConfig{}).Listen(b.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func cpuTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureCalls sends b.N requests at the rate, each in its own goroutine, and reports latency and CPU per call. At rate
// 0 it sends one request after the other.
func measureCalls(b *testing.B, address string, rate int, method, path, body string) {
	b.Helper()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}}
	histogram := hdrhistogram.New(1, 60_000_000, 3)
	var mutex sync.Mutex
	var group sync.WaitGroup
	send := func() {
		started := time.Now()
		request, _ := http.NewRequestWithContext(b.Context(), method, "http://"+address+path, strings.NewReader(body))
		request.Host = "wick.example"
		response, err := client.Do(request)
		if err != nil {
			b.Error(err)
			return
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			b.Errorf("status %d", response.StatusCode)
		}
		mutex.Lock()
		_ = histogram.RecordValue(time.Since(started).Microseconds())
		mutex.Unlock()
	}
	for range 50 { // opens connections
		send()
	}
	histogram.Reset()
	b.ResetTimer()
	before := cpuTime()
	if rate == 0 {
		for b.Loop() {
			send()
		}
		report(b, histogram, before)
		return
	}
	interval := time.Second / time.Duration(rate)
	next := time.Now()
	for b.Loop() {
		next = next.Add(interval)
		timer := time.NewTimer(time.Until(next))
		<-timer.C

		group.Go(send)
	}
	group.Wait()
	report(b, histogram, before)
}

func report(b *testing.B, histogram *hdrhistogram.Histogram, before time.Duration) {
	b.Helper()
	b.ReportMetric(float64(histogram.ValueAtQuantile(50)), "p50-us")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99)), "p99-us")
	b.ReportMetric(float64(histogram.ValueAtQuantile(99.9)), "p999-us")
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/call")
}

// BenchmarkHop compares a direct call to an upstream with a call through an entry node and a host node, all on loopback
// in one process. CPU includes the caller and the upstream; the difference is the cost of both nodes.
func BenchmarkHop(b *testing.B) {
	clock := timekeeper.System()
	upstream := listen(b, faker.NewUpstream(faker.UpstreamOptions{}))
	host := NewHost(Options{
		Clock: clock, Name: "host", Upstream: upstream,
		Queue: admitter.New(admitter.Options{Clock: clock, Slots: 18}),
	})
	peer := listen(b, host)
	members := fixedDirectory{{
		Name: "host", Zone: "a", Service: service, Peer: peer, Slots: 18, State: tracker.StateReady,
	}}
	caller := messenger.NewClient(messenger.Options{})
	entry := listen(b, NewEntry(Options{
		Clock: clock, Name: "entry", Zone: "a", Views: fixedViews{testView()}, Caller: caller,
		Picker: router.NewPicker(router.Options{Directory: members, Clock: clock, Zone: "a"}),
	}))
	for _, rate := range []int{0, 312} {
		b.Run("rate"+strconv.Itoa(rate), func(b *testing.B) {
			b.Run("direct", func(b *testing.B) { measureCalls(b, upstream, rate, http.MethodGet, "/check", "") })
			b.Run("get", func(b *testing.B) { measureCalls(b, entry, rate, http.MethodGet, "/check", "") })
			b.Run("post", func(b *testing.B) { measureCalls(b, entry, rate, http.MethodPost, "/book", "sacks=3") })
		})
	}
}
