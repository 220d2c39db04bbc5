package main

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// workHeader carries the time that a run took on the upstream, in microseconds.
const workHeader = "Bench-Work"

// crashHeader makes the upstream that runs the request end.
const crashHeader = "Bench-Crash"

// upstreamCommand serves an upstream stand-in. GET /runs returns how often each request id was started.
func upstreamCommand() *cli.Command {
	return &cli.Command{
		Name:  "upstream",
		Usage: "serve a stand-in for an upstream",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Value: "127.0.0.1:9000"},
			&cli.IntFlag{Name: "slots", Usage: "requests run at the same time"},
			&cli.IntFlag{Name: "work", Usage: "mean time of one run, in ms; runs take half to one and a half times as long"},
			&cli.IntFlag{Name: "cold", Usage: "span after the start in which runs take twice as long, in ms"},
			&cli.StringFlag{Name: "recorder", Usage: "address to which each run is reported"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			record := func(string) {}
			if address := c.String("recorder"); address != "" {
				var err error
				if record, err = report(ctx, address); err != nil {
					return err
				}
			}
			upstream := faker.NewUpstream(upstreamOptions(c.Int("slots"), c.Int("work"), c.Int("cold"), record))
			return serve(ctx, c.String("listen"), upstreamHandler(upstream))
		},
	}
}

// upstreamOptions describe an upstream that reports each run and ends its process on a request with the crash header.
func upstreamOptions(slots, work, cold int, record func(id string)) faker.UpstreamOptions {
	return faker.UpstreamOptions{
		Slots: slots, ColdStart: timekeeper.Millis(cold), ColdStartFactor: 2, Lag: timekeeper.Second,
		Service: func(*http.Request) timekeeper.Millis {
			return timekeeper.Millis(float64(work) * (0.5 + rand.Float64()))
		},
		Crash: func(r *http.Request) bool {
			record(r.Header.Get("Jasmine-Id"))
			if r.Header.Get(crashHeader) != "" {
				os.Exit(3)
			}
			return false
		},
		Answer: func(w http.ResponseWriter, r *http.Request) {
			text := "ran " + r.Header.Get("Jasmine-Id") + "\n"
			w.Header().Set("Content-Length", strconv.Itoa(len(text)))
			if begun, ok := r.Context().Value(begunKey{}).(time.Time); ok {
				w.Header().Set(workHeader, strconv.FormatInt(time.Since(begun).Microseconds(), 10))
			}
			_, _ = w.Write([]byte(text))
		},
	}
}

// begunKey is the context key of the time at which a request arrived at the upstream.
type begunKey struct{}

// upstreamHandler serves an upstream and its list of runs.
func upstreamHandler(upstream *faker.Upstream) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(upstream.AllRuns())
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		upstream.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), begunKey{}, time.Now())))
	})
	return mux
}
