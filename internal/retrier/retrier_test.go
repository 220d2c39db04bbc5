package retrier

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Guards against a retry that a rule forbids, and against a refusal of an allowed retry.
func TestDecideWithoutBudget(t *testing.T) {
	base := Attempt{Number: 1, Outcome: classifier.OutcomeNotRun, Code: classifier.CodeOverload, Deadline: 1000}
	for name, c := range map[string]struct {
		change func(*Attempt)
		want   Decision
	}{
		"not run":            {func(*Attempt) {}, Decision{Retry: true, Reason: ReasonRetry}},
		"with a hint":        {func(a *Attempt) { a.After = 90 }, Decision{Retry: true, After: 90, Reason: ReasonRetry}},
		"hint past deadline": {func(a *Attempt) { a.After = 1000 }, deny(ReasonDeadline)},
		"third attempt":      {func(a *Attempt) { a.Number = 3 }, deny(ReasonAttempts)},
		"part of a retry":    {func(a *Attempt) { a.PartOfRetry = true }, deny(ReasonPartOfRetry)},
		"answered":           {func(a *Attempt) { a.Outcome = classifier.OutcomeAnswered }, deny(ReasonAnswered)},
		"may have run":       {func(a *Attempt) { a.Outcome = classifier.OutcomeUnknown }, deny(ReasonMayHaveRun)},
		"no outcome":         {func(a *Attempt) { a.Outcome = "" }, deny(ReasonMayHaveRun)},
		"isolated":           {func(a *Attempt) { a.Code = classifier.CodeIsolated }, deny(ReasonPermanent)},
		"one crash": {func(a *Attempt) {
			a.Outcome, a.Idempotent, a.Crashes = classifier.OutcomeUnknown, true, 1
		}, Decision{Retry: true, Reason: ReasonRetry}},
		"two crashes": {func(a *Attempt) {
			a.Outcome, a.Idempotent, a.Crashes = classifier.OutcomeUnknown, true, 2
		}, deny(ReasonCrash)},
	} {
		attempt := base
		c.change(&attempt)
		if diff := cmp.Diff(c.want, DecideWithoutBudget(0, attempt)); diff != "" {
			t.Errorf("%s differs (-want +got):\n%s", name, diff)
		}
	}
}

// checkRetryRules decides on random failed attempts and returns the first violation of a rule, or "".
func checkRetryRules(rt *rapid.T, off overrides) string {
	manual := timekeeper.Manual(0)
	r := New(Options{Clock: manual.Clock()})
	r.overrides = off
	calls, retries := make(map[string]int), make(map[string]int)
	for range rapid.IntRange(1, 300).Draw(rt, "calls") {
		manual.Advance(timekeeper.Millis(rapid.SampledFrom([]int{0, 0, 1, 50, 12000, 25000}).Draw(rt, "pass")))
		a := Attempt{
			Service: rapid.SampledFrom([]string{"s", "t"}).Draw(rt, "service"), Number: 1,
			Idempotent: rapid.Bool().Draw(rt, "idempotent"), PartOfRetry: rapid.Bool().Draw(rt, "retried"),
			Deadline: manual.Clock().Now() + 1000,
		}
		r.RecordFirstAttempt(a.Service)
		calls[a.Service]++
		for ; a.Number < 10; a.Number++ {
			a.Outcome = rapid.SampledFrom([]classifier.Outcome{classifier.OutcomeNotRun, classifier.OutcomeUnknown, ""}).
				Draw(rt, "outcome")
			if !r.Decide(a).Retry {
				break
			}
			retries[a.Service]++
			switch {
			case a.PartOfRetry:
				return "a retry was retried"
			case !a.Idempotent && a.Outcome != classifier.OutcomeNotRun:
				return "a non-idempotent request that may have run was retried"
			case 10*retries[a.Service] > calls[a.Service]:
				return "retries exceed a tenth of the calls"
			case a.Number > 2:
				return "more than two retries"
			}
		}
	}
	return ""
}

// Guards against retries of more than a tenth of the calls, of requests that are part of a retry, and of requests that
// may have run. Each rule must be violated when it is turned off.
func TestRetryRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if violation := checkRetryRules(rt, overrides{}); violation != "" {
			rt.Fatal(violation)
		}
	})
	for _, off := range []overrides{{ignoreBudget: true}, {retryPartOfRetry: true}, {retryMayHaveRun: true}} {
		generator := rapid.Custom(func(rt *rapid.T) string { return checkRetryRules(rt, off) })
		found := ""
		for seed := 0; seed < 500 && found == ""; seed++ {
			found = generator.Example(seed)
		}
		t.Logf("with %+v: %s", off, found)
		if found == "" {
			t.Errorf("with %+v no rule is violated", off)
		}
	}
}

// Guards against a service whose past calls pay for a storm of retries after a quiet minute.
func TestCreditExpires(t *testing.T) {
	manual := timekeeper.Manual(0)
	r := New(Options{Clock: manual.Clock()})
	for range 1000 {
		r.RecordFirstAttempt("s")
	}
	manual.Advance(timekeeper.Minute)
	a := Attempt{Service: "s", Number: 1, Outcome: classifier.OutcomeNotRun, Deadline: timekeeper.Millis(1) << 40}
	if got := r.Decide(a); got.Retry {
		t.Fatalf("decision after a minute is %+v", got)
	}
}

// Guards against credit from earlier calls that raises the retries of a flood above a tenth of its calls.
func TestRetriesInFloodStayUnderTenth(t *testing.T) {
	manual := timekeeper.Manual(0)
	r := New(Options{Clock: manual.Clock()})
	for range 5000 {
		r.RecordFirstAttempt("s")
	}
	const calls = 1000
	retries := 0
	a := Attempt{Service: "s", Number: 1, Outcome: classifier.OutcomeNotRun, Deadline: timekeeper.Millis(1) << 40}
	for range calls {
		r.RecordFirstAttempt("s")
		if r.Decide(a).Retry {
			retries++
		}
	}
	if retries == 0 || retries > calls/10 {
		t.Fatalf("%d retries of %d calls", retries, calls)
	}
}

// BenchmarkDecide measures a first attempt and a decision, on one service and on one service per processor.
func BenchmarkDecide(b *testing.B) {
	for _, services := range []int{1, 64} {
		b.Run(fmt.Sprint("services=", services), func(b *testing.B) {
			r := New(Options{Clock: timekeeper.System()})
			names := make(chan string, services)
			for i := range services {
				names <- fmt.Sprint("service-", i)
			}
			b.RunParallel(func(pb *testing.PB) {
				name := <-names
				names <- name
				a := Attempt{Service: name, Number: 1, Outcome: classifier.OutcomeNotRun, Deadline: 1 << 60}
				for pb.Next() {
					r.RecordFirstAttempt(name)
					r.Decide(a)
				}
			})
		})
	}
}

// Guards against a configured ratio without effect: a service with a low ratio would get as many retries as any other.
func TestRatioBoundsRetries(t *testing.T) {
	for _, ratio := range []float64{0.02, 0.1, 0.25} {
		clock := timekeeper.Manual(creditPeriod)
		r := New(Options{Clock: clock.Clock(), Ratio: ratio})
		const calls = 10_000
		retries := 0
		for range calls {
			r.RecordFirstAttempt("s")
			decision := r.Decide(Attempt{
				Service: "s", Number: 1, Outcome: classifier.OutcomeUnknown, Idempotent: true, Deadline: 10 * creditPeriod,
			})
			if decision.Retry {
				retries++
			}
		}
		if share := float64(retries) / calls; share > ratio || share < ratio/2 {
			t.Errorf("ratio %.2f: %.3f of the calls were retried", ratio, share)
		}
	}
}
