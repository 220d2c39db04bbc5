package logger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

func newLogger(t *testing.T) (*zap.Logger, *bytes.Buffer) {
	t.Helper()
	output := &bytes.Buffer{}
	base, err := New("info", output)
	if err != nil {
		t.Fatal(err)
	}
	return base, output
}

func messages(t *testing.T, output *bytes.Buffer) []string {
	t.Helper()
	var list []string
	for text := range strings.Lines(output.String()) {
		var entry struct {
			Message    string
			Suppressed int
		}
		if err := json.Unmarshal([]byte(text), &entry); err != nil {
			t.Fatal(err)
		}
		list = append(list, fmt.Sprintf("%s suppressed=%d", entry.Message, entry.Suppressed))
	}
	return list
}

// Guards against lines without the prefix of their component or with it twice, and against lines below the level.
func TestPrefixIsAddedOnce(t *testing.T) {
	base, output := newLogger(t)
	component := WithPrefix(base, "relayer")
	component.Info("offer sent")
	component.With(zap.Int("version", 3)).Warn("offer refused")
	component.Debug("hidden")
	component.Info("relayer: watch ended")
	want := []string{
		"relayer: offer sent suppressed=0", "relayer: offer refused suppressed=0", "relayer: watch ended suppressed=0",
	}
	if diff := cmp.Diff(want, messages(t, output)); diff != "" {
		t.Fatalf("lines differ (-want +got):\n%s", diff)
	}
}

// Guards against a flood of lines with one key, a wrong count of suppressed lines, and keys that suppress each other.
func TestLimitedLogsOncePerKeyAndMinute(t *testing.T) {
	base, output := newLogger(t)
	manual := timekeeper.Manual(0)
	limited := NewLimited(base, manual.Clock())
	for range 5 {
		limited.Warn("a", "first")
	}
	limited.Info("b", "second")
	manual.Advance(timekeeper.Minute - 1)
	limited.Error("a", "first")
	manual.Advance(1)
	limited.Error("a", "first")
	manual.Advance(timekeeper.Minute)
	limited.Error("a", "first")
	want := []string{
		"first suppressed=0", "second suppressed=0", "first suppressed=5", "first suppressed=0",
	}
	if diff := cmp.Diff(want, messages(t, output)); diff != "" {
		t.Fatalf("lines differ (-want +got):\n%s", diff)
	}
}

// Guards against keys from outside the process that use memory without bound.
func TestLimitedBoundsItsKeys(t *testing.T) {
	manual := timekeeper.Manual(0)
	limited := NewLimited(zap.NewNop(), manual.Clock())
	count := func() int {
		total := 0
		for i := range limited.shards {
			total += len(limited.shards[i].keys)
		}
		return total
	}
	for i := range 20000 {
		limited.Warn(fmt.Sprint(i), "line")
	}
	if limit := limitedShards * (maxShardKeys + 1); count() > limit {
		t.Fatalf("%d keys are kept, the limit is %d", count(), limit)
	}
	manual.Advance(timekeeper.Minute)
	for i := range 100 {
		limited.Warn(fmt.Sprint("new", i), "line")
	}
	if limit := 100 + limitedShards; count() > limit {
		t.Fatalf("%d keys are kept after a minute, the limit is %d", count(), limit)
	}
}

// Guards against an unknown level that is replaced by a default.
func TestUnknownLevelIsRefused(t *testing.T) {
	if _, err := New("loud", &bytes.Buffer{}); classifier.CodeOf(err) != classifier.CodeSettingsInvalid {
		t.Fatalf("error is %v", err)
	}
}
