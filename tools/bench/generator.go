package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"golang.org/x/sync/errgroup"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// maxInFlight limits the requests in flight of each kind of call; requests above it are dropped. With a shared limit, a
// flood of one kind would prevent the others from being sent.
const maxInFlight = 8000

// warmUpStreak is the number of consecutive answered requests that ends the warm-up of a kind of call.
const warmUpStreak = 12

// maxAttempts limits how often a request is sent with the same id when its connection fails.
const maxAttempts = 3

// LoadGenerator is an open-loop load generator: it sends requests whether or not earlier ones have completed.
type LoadGenerator struct {
	Entries  map[string][]string // caller addresses of the entry nodes by service
	Internal string              // secret of internal calls
	Tally    *Tally
	client   *http.Client
	inFlight sync.WaitGroup
}

// newLoadGenerator returns a load generator that has not sent any request.
func newLoadGenerator(entries map[string][]string, internal string) *LoadGenerator {
	dialer := &net.Dialer{Timeout: time.Second}
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 512, DisableCompression: true,
		IdleConnTimeout: (15 * timekeeper.Second).Duration(),
	}
	return &LoadGenerator{
		Entries: entries, Internal: internal, Tally: &Tally{}, client: &http.Client{Transport: transport},
	}
}

// run sends requests to a target until ctx is done, as a Poisson process with a mean rate per second. Requests in
// flight continue after run returns; waitInFlight waits for them.
func (l *LoadGenerator) run(ctx context.Context, target *Target, rate float64, header http.Header) {
	slots := make(chan struct{}, maxInFlight)
	next := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		for ; !next.After(time.Now()); next = next.Add(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))) {
			l.startRequest(target, header, slots)
		}
		timer.Reset(time.Until(next))
	}
}

// warmUp sends each kind of call until warmUpStreak requests in a row are answered or the timeout expires. Right after
// the first start of a system the owners of request ids are not yet agreed. Each data centre has its own owners, so a
// single answered request does not show that all of them are.
func (l *LoadGenerator) warmUp(ctx context.Context, targets []Target, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var group errgroup.Group
	for i := range targets {
		group.Go(func() error { return l.warmUpTarget(ctx, &targets[i]) })
	}
	return group.Wait()
}

func (l *LoadGenerator) warmUpTarget(ctx context.Context, target *Target) error {
	for streak := 0; streak < warmUpStreak; streak++ {
		result := l.send(target, uuid.Must(uuid.NewV7()).String(), nil)
		if result.Outcome == classifier.OutcomeAnswered {
			continue
		}
		streak = -1
		if sleep(ctx, 100*time.Millisecond) != nil {
			return fmt.Errorf("%s is not answered: %s, code %s", target.key(), result.Outcome, result.Code)
		}
	}
	return nil
}

// waitInFlight waits until no request is in flight and closes idle connections.
func (l *LoadGenerator) waitInFlight() {
	l.inFlight.Wait()
	l.client.CloseIdleConnections()
}

func (l *LoadGenerator) startRequest(target *Target, header http.Header, slots chan struct{}) {
	id := uuid.Must(uuid.NewV7()).String()
	select {
	case slots <- struct{}{}:
	default:
		l.Tally.drop()
		return
	}
	l.inFlight.Go(func() {
		defer func() { <-slots }()
		l.Tally.add(l.send(target, id, header))
	})
}

// send sends a request and returns its result. If the connection fails, it sends the request again with the same id
// through another entry node.
func (l *LoadGenerator) send(target *Target, id string, extra http.Header) Result {
	started := time.Now()
	result := Result{Target: target, ID: id, Outcome: classifier.OutcomeUnknown, Code: "connection"}
	ctx, cancel := context.WithTimeout(context.Background(), (target.Timeout + timekeeper.Second).Duration())
	defer cancel()
	entries := l.Entries[target.Service]
	first := rand.IntN(len(entries))
	for attempt := range maxAttempts {
		entry := entries[(first+attempt)%len(entries)]
		if l.exchange(ctx, entry, target, id, extra, &result) == nil {
			break
		}
	}
	result.Total = time.Since(started).Microseconds()
	result.Added += result.Total
	return result
}

// exchange sends a request once and fills in the result. It returns an error if the connection failed.
func (l *LoadGenerator) exchange(
	ctx context.Context, entry string, target *Target, id string, extra http.Header, result *Result,
) error {
	url := "http://" + entry + target.Path
	request, err := http.NewRequestWithContext(ctx, target.Method, url, strings.NewReader(requestBody(target, id)))
	if err != nil {
		return err
	}
	for name, values := range extra {
		request.Header[name] = values
	}
	request.Host = target.Host
	request.Header.Set("Jasmine-Id", id)
	if target.Internal {
		request.Header.Set("Jasmine-Internal", l.Internal)
	}
	response, err := l.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	result.Outcome = classifier.Outcome(response.Header.Get("Jasmine-Outcome"))
	result.Code = response.Header.Get("Jasmine-Code")
	if attempts, err := strconv.Atoi(response.Header.Get("Jasmine-Attempts")); err == nil {
		result.Retries += attempts - 1
	}
	result.BodyMatches = strings.Contains(string(body), id)
	if workTime, err := strconv.ParseInt(response.Header.Get(workHeader), 10, 64); err == nil {
		result.Added = -workTime
	}
	return nil
}

func requestBody(target *Target, id string) string {
	if target.Method == http.MethodGet || target.Method == http.MethodHead {
		return ""
	}
	return fmt.Sprintf(`{"call":%q,"id":%q}`, target.Call, id)
}

// collectRuns returns the number of runs of each request id, summed over the upstream stand-ins.
func collectRuns(ctx context.Context, upstreams []string) (map[string]int, error) {
	runs := make(map[string]int)
	for _, address := range upstreams {
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/runs", nil)
		if err != nil {
			return nil, err
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return nil, err
		}
		var counts map[string]int
		err = json.NewDecoder(response.Body).Decode(&counts)
		_ = response.Body.Close()
		if err != nil {
			return nil, err
		}
		for id, count := range counts {
			runs[id] += count
		}
	}
	return runs, nil
}
