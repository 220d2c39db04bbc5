package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/jasmineproxy/jasmineproxy/internal/faker"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// platformCommand returns the command that serves the platform stand-in. POST /control sets the fault of all later
// calls, and GET /calls returns the number of calls by method.
func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "serve a stand-in for the platform's object API",
		Flags: []cli.Flag{&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7000"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serve(ctx, c.String("listen"), platformHandler(faker.NewPlatform()))
		},
	}
}

// platformHandler returns a handler for the object API of platform and for its controls.
func platformHandler(platform *faker.Platform) http.Handler {
	var fault atomic.Pointer[faker.Fault]
	fault.Store(&faker.Fault{})
	platform.SetFault(func(faker.Operation) faker.Fault { return *fault.Load() })
	mux := http.NewServeMux()
	mux.Handle("/v1/", faker.Handler(faker.NewLimited(platform)))
	mux.HandleFunc("POST /control", func(w http.ResponseWriter, r *http.Request) {
		next := faker.Fault{}
		if err := json.NewDecoder(r.Body).Decode(&next); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		fault.Store(&next)
	})
	mux.HandleFunc("GET /calls", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(platform.Calls())
	})
	return mux
}

// serve runs an HTTP server on an address until ctx is done.
func serve(ctx context.Context, address string, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: (5 * timekeeper.Second).Duration()}
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() {
		// A pending watch may keep its connection open for longer than a stand-in should take to stop.
		shutdownCtx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			_ = server.Close()
		}
	})
	defer stop()
	if err := server.Serve(listener); err != nil && err != http.ErrServerClosed {
		return err
	}
	return nil
}
