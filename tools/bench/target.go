package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Target is a kind of call that the load generator sends.
type Target struct {
	Account       string
	Host          string
	Call          string
	Method        string
	Path          string
	Rank          string
	Service       string
	Idempotent    bool
	Internal      bool
	LatencyTarget timekeeper.Millis // a response within this time counts as in time
	Timeout       timekeeper.Millis
}

// key returns the name of the target in tables.
func (t *Target) key() string {
	return t.Account + "/" + t.Call
}

// readSources reads all sources under a directory, as the operator commands do, sorted by path.
func readSources(directory string) ([]compiler.Source, error) {
	paths, err := filepath.Glob(filepath.Join(directory, "*", "*.yaml"))
	if err != nil {
		return nil, err
	}
	sort.Strings(paths)
	sources := make([]compiler.Source, 0, len(paths))
	for _, path := range paths {
		value, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		name := strings.TrimSuffix(filepath.Base(path), ".yaml")
		sources = append(sources, compiler.Source{Name: name, Value: value})
	}
	return sources, nil
}

// readView compiles all sources under a directory.
func readView(directory string) (compiler.View, error) {
	sources, err := readSources(directory)
	if err != nil {
		return compiler.View{}, err
	}
	view, problems := compiler.Compile(sources)
	if len(problems) > 0 {
		return compiler.View{}, fmt.Errorf("%s: %w", directory, problems[0].Err())
	}
	return view, nil
}

// listTargets returns a target for every kind of call of a view.
func listTargets(view *compiler.View) []Target {
	var targets []Target
	for _, account := range view.Accounts {
		for _, call := range account.Calls {
			target := Target{
				Account: account.Name, Host: account.Host, Call: call.Name, Method: call.Method, Path: call.Path,
				Rank: call.Rank, Service: call.Service, Idempotent: call.Idempotent, Internal: call.Internal,
				Timeout: call.Timeout, LatencyTarget: call.Timeout,
			}
			if rank := account.Rank(call.Rank); rank != nil {
				target.LatencyTarget = rank.Target
			}
			targets = append(targets, target)
		}
	}
	return targets
}
