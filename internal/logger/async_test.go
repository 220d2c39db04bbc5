package logger

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"go.uber.org/zap"
)

// Guards against a request that blocks on a slow reader of the logs, and against lines that are lost without
// being counted as dropped.
func TestAsyncDropsAndCounts(t *testing.T) {
	var output bytes.Buffer
	async := NewAsync(&output)
	for range maxQueuedLines + 7 {
		_, _ = async.Write([]byte("line\n"))
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- async.Run(ctx) }()
	for len(async.lines) > 0 {
		_, _ = async.Write(nil) // yields to the writer
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	if lines := strings.Count(output.String(), "line\n"); lines != maxQueuedLines {
		t.Errorf("%d lines written", lines)
	}
}

// Guards against a flood of lines about requests, and against suppressed lines that are not reported.
func TestDecisionsAreBounded(t *testing.T) {
	var output bytes.Buffer
	log, err := New("info", &output)
	if err != nil {
		t.Fatal(err)
	}
	decisions := NewDecisions(log)
	allowed := 0
	for range 10 * decisionBurst {
		if decisions.Allow() {
			allowed++
		}
	}
	if allowed < decisionBurst || allowed > 2*decisionBurst {
		t.Errorf("%d lines allowed", allowed)
	}
	decisions.Info("request failed", zap.String("id", "9c41"))
	if !strings.Contains(output.String(), `"left_out":`) {
		t.Errorf("no count of suppressed lines in %s", output.String())
	}
	var disabled *Decisions
	if disabled.Allow() {
		t.Error("a nil Decisions allows a line")
	}
}
