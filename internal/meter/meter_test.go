package meter

import (
	"bytes"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Guards against a change of the text format that breaks metric collectors, and against lines in a random order.
func TestTextIsSortedAndLabelled(t *testing.T) {
	m := New()
	m.Counter(`refused{code="220"}`).Inc(3)
	m.Gauge("members").Update(9)
	m.Function("goroutines", func() int64 { return 4 })
	m.Function("goroutines", func() int64 { return 5 })
	timer := m.Timer(`wait{rank="urgent"}`)
	timer.Record(2 * time.Millisecond)
	timer.Record(0)
	var output bytes.Buffer
	if err := m.WriteText(&output); err != nil {
		t.Fatal(err)
	}
	want := `jasmine_goroutines 5
jasmine_members 9
jasmine_refused{code="220"} 3
jasmine_wait_count{rank="urgent"} 2
jasmine_wait_max{rank="urgent"} 0.002007
jasmine_wait_sum{rank="urgent"} 0.002001
jasmine_wait{rank="urgent",quantile="0.5"} 0.000001
jasmine_wait{rank="urgent",quantile="0.9"} 0.002007
jasmine_wait{rank="urgent",quantile="0.99"} 0.002007
jasmine_wait{rank="urgent",quantile="0.999"} 0.002007
`
	if diff := cmp.Diff(want, output.String()); diff != "" {
		t.Fatalf("text differs (-want +got):\n%s", diff)
	}
}

// Guards against durations that are lost between shards, races, and quantiles that are off by more than the resolution.
func TestTimerMergesItsShards(t *testing.T) {
	m := New()
	timer := m.Timer("calls")
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for i := range 1000 {
				timer.Record(time.Duration(i+1) * time.Millisecond)
			}
		})
	}
	group.Wait()
	if m.Timer("calls") != timer {
		t.Fatal("the same name returned another timer")
	}
	summary := timer.Summary(0.5, 0.99)
	if summary.Count != 8000 || summary.Sum != 8*500500*time.Millisecond {
		t.Fatalf("count is %d, sum %v", summary.Count, summary.Sum)
	}
	for i, want := range []time.Duration{500 * time.Millisecond, 990 * time.Millisecond} {
		got := summary.Quantiles[i].Value
		if got < want*99/100 || got > want*101/100 {
			t.Errorf("quantile %g is %v, want %v within 1%%", summary.Quantiles[i].Level, got, want)
		}
	}
}

// Guards against a duration beyond the range of the histogram that is dropped.
func TestTimerCapsLongDurations(t *testing.T) {
	timer := New().Timer("calls")
	timer.Record(100 * time.Hour)
	if summary := timer.Summary(); summary.Count != 1 || summary.Max < time.Hour*99/100 {
		t.Fatalf("summary is %+v", summary)
	}
}

// Guards against process gauges that are always 0, for example because Go renamed a runtime metric.
func TestRuntimeGaugesHaveValues(t *testing.T) {
	m := New()
	m.AddRuntime()
	for start := time.Now(); time.Since(start) < 5*time.Millisecond; { // uses CPU time
	}
	var output bytes.Buffer
	if err := m.WriteText(&output); err != nil {
		t.Fatal(err)
	}
	if lines := bytes.Count(output.Bytes(), []byte("\n")); lines != 4 || bytes.Contains(output.Bytes(), []byte(" 0\n")) {
		t.Fatalf("text is:\n%s", &output)
	}
}

// BenchmarkRecord measures the cost of Record while all threads record.
func BenchmarkRecord(b *testing.B) {
	timer := New().Timer("calls")
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			timer.Record(time.Millisecond)
		}
	})
}
