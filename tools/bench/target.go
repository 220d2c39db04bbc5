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

// Target is one kind of call that the caller stand-in sends.
type Target struct {
	Account    string
	Host       string
	Call       string
	Method     string
	Path       string
	Rank       string
	Service    string
	Idempotent bool
	Internal   bool
	Goal       timekeeper.Millis // time within which the answer has its worth
	Timeout    timekeeper.Millis
}

// key names the target in tables.
func (t *Target) key() string {
	return t.Account + "/" + t.Call
}

// readSources reads all sources under a directory, as the operator commands do.
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

// targetsOf lists every kind of call of a view.
func targetsOf(view *compiler.View) []Target {
	var targets []Target
	for _, account := range view.Accounts {
		for _, call := range account.Calls {
			target := Target{
				Account: account.Name, Host: account.Host, Call: call.Name, Method: call.Method, Path: call.Path,
				Rank: call.Rank, Service: call.Service, Idempotent: call.Idempotent, Internal: call.Internal,
				Timeout: call.Timeout, Goal: call.Timeout,
			}
			if rank := account.Rank(call.Rank); rank != nil {
				target.Goal = rank.Target
			}
			targets = append(targets, target)
		}
	}
	return targets
}
