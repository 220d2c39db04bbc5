package logger

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"go.uber.org/zap"
)

// Guards against a request that waits for the reader of the logs, and against lines that vanish without a trace.
func TestAsyncDropsAndCounts(t *testing.T) {
	var output bytes.Buffer
	async := NewAsync(&output)
	for range asyncLines + 7 {
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
	if lines := strings.Count(output.String(), "line\n"); lines != asyncLines {
		t.Errorf("%d lines written", lines)
	}
}

// Guards against a flood of lines about requests, and against a gap that is not told.
func TestDecisionsAreBounded(t *testing.T) {
	var output bytes.Buffer
	log, err := New("info", &output)
	if err != nil {
		t.Fatal(err)
	}
	d := NewDecisions(log)
	granted := 0
	for range 10 * decisionBurst {
		if d.Allow() {
			granted++
		}
	}
	if granted < decisionBurst || granted > 2*decisionBurst {
		t.Errorf("%d lines granted", granted)
	}
	d.Info("request failed", zap.String("id", "9c41"))
	if !strings.Contains(output.String(), `"left_out":`) {
		t.Errorf("no gap told in %s", output.String())
	}
	var none *Decisions
	if none.Allow() {
		t.Error("a missing log grants a line")
	}
}
