package administrator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/jasmineproxy/jasmineproxy/internal/auditor"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/logger"
	"github.com/jasmineproxy/jasmineproxy/internal/meter"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// refusalRate and refusalBurst bound the audit entries for refused requests of each class (without a valid token, of
// an account, of an operator), so that a flood of them neither fills the platform nor hides the other classes.
const refusalRate, refusalBurst = 0.2, 20

// trail writes log lines and audit entries of administration.
type trail struct {
	auditor Auditor
	clock   timekeeper.Clock
	limited *logger.Limited
	meter   *meter.Meter

	mutex   sync.Mutex
	classes map[string]*class
}

// class counts the refusals of one class of requests.
type class struct {
	limiter *rate.Limiter
	omitted uint64 // refusals since the last audit entry
}

func newTrail(a Auditor, clock timekeeper.Clock, limited *logger.Limited, m *meter.Meter) *trail {
	return &trail{auditor: a, clock: clock, limited: limited, meter: m, classes: make(map[string]*class)}
}

// changed records an accepted change.
func (t *trail) changed(ctx context.Context, p Principal, entry auditor.Entry) {
	entry.Time, entry.Actor = t.clock.Now(), p.actor()
	t.auditor.Record(ctx, entry)
}

// refused counts a refused request by code, logs it, at most one line per code and minute, and records it.
func (t *trail) refused(r *http.Request, p Principal, err error) {
	failure := failureOf(err)
	host, _, splitErr := net.SplitHostPort(r.RemoteAddr)
	if splitErr != nil {
		host = r.RemoteAddr
	}
	t.meter.Counter(fmt.Sprintf("administrator_refused{code=\"%d\"}", failure.Code)).Inc(1)
	t.limited.Warn(fmt.Sprint(failure.Code), "request refused", zap.Int("code", int(failure.Code)),
		zap.String("actor", p.actor()), zap.String("path", r.URL.Path), zap.String("address", host),
		zap.String("reason", failure.Reason))
	omitted, allowed := t.allow(p)
	if !allowed {
		return
	}
	reason := failure.Reason
	if omitted > 0 {
		reason += fmt.Sprintf(" (%d refusals before this one are not in the trail)", omitted)
	}
	subject := failure.Subject
	if subject == "" {
		subject = r.URL.Path
	}
	t.auditor.Record(r.Context(), auditor.Entry{
		Time: t.clock.Now(), Actor: p.actor(), Action: "refuse " + r.Method + " " + r.URL.Path, Subject: subject,
		Code: failure.Code, Reason: reason + ", from " + host,
	})
}

// allow reports whether a refusal may be recorded and how many were omitted before it.
func (t *trail) allow(p Principal) (uint64, bool) {
	name := "unknown"
	switch {
	case p.Operator:
		name = "operator"
	case p.Account != "":
		name = p.source() // tokens exist for a bounded number of accounts, so the map is bounded too
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	current, ok := t.classes[name]
	if !ok {
		current = &class{limiter: rate.NewLimiter(refusalRate, refusalBurst)}
		t.classes[name] = current
	}
	if !current.limiter.AllowN(timeOf(t.clock.Now()), 1) {
		current.omitted++
		return 0, false
	}
	omitted := current.omitted
	current.omitted = 0
	return omitted, true
}

func timeOf(now timekeeper.Millis) time.Time {
	return time.UnixMilli(int64(now))
}

// refusedAs is the code of an error for the trail; an error without a code counts as malformed input.
func refusedAs(err error) classifier.Code {
	if code := classifier.CodeOf(err); code != classifier.CodeOK {
		return code
	}
	return classifier.CodeBadRequest
}
