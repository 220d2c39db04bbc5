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

// workHeader is the response header with the time that the request took on the upstream, in microseconds.
const workHeader = "Bench-Work"

// crashHeader is the request header that makes the upstream process exit when it runs the request.
const crashHeader = "Bench-Crash"

// upstreamCommand returns the command that serves an upstream stand-in. GET /runs returns the number of runs of each
// request id.
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
				if record, err = dialRecorder(ctx, address); err != nil {
					return err
				}
			}
			upstream := faker.NewUpstream(upstreamOptions(c.Int("slots"), c.Int("work"), c.Int("cold"), record))
			return serve(ctx, c.String("listen"), upstreamHandler(upstream))
		},
	}
}

// upstreamOptions returns the options of an upstream that reports each run and exits on a request with crashHeader.
func upstreamOptions(slots, work, cold int, record func(id string)) faker.UpstreamOptions {
	return faker.UpstreamOptions{
		Slots: slots, ColdStart: timekeeper.Millis(cold), ColdStartFactor: 2, Lag: timekeeper.Second,
		ServiceTime: func(*http.Request) timekeeper.Millis {
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
			if arrived, ok := r.Context().Value(arrivalKey{}).(time.Time); ok {
				w.Header().Set(workHeader, strconv.FormatInt(time.Since(arrived).Microseconds(), 10))
			}
			_, _ = w.Write([]byte(text))
		},
	}
}

// arrivalKey is the context key of the time at which the upstream received a request.
type arrivalKey struct{}

// upstreamHandler returns a handler for an upstream and its number of runs by request id.
func upstreamHandler(upstream *faker.Upstream) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /runs", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(upstream.AllRuns())
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		upstream.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), arrivalKey{}, time.Now())))
	})
	return mux
}
