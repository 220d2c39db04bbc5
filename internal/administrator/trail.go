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

// refusalRate, per second, and refusalBurst bound the audit entries for refused requests in each class: requests
// without a valid token, of each account, and of operators. A flood in one class neither fills the platform nor hides
// the refusals of other classes.
const refusalRate, refusalBurst = 0.2, 20

// trail writes audit entries for changes, and audit entries, log lines and metrics for refused requests.
type trail struct {
	auditor Auditor
	clock   timekeeper.Clock
	limited *logger.Limited
	meter   *meter.Meter

	mutex   sync.Mutex
	classes map[string]*refusalClass
}

// refusalClass limits the audit entries for refused requests of one class.
type refusalClass struct {
	limiter *rate.Limiter
	omitted uint64 // refusals since the last audit entry
}

func newTrail(a Auditor, clock timekeeper.Clock, limited *logger.Limited, m *meter.Meter) *trail {
	return &trail{auditor: a, clock: clock, limited: limited, meter: m, classes: make(map[string]*refusalClass)}
}

// recordChange writes an audit entry for an accepted change.
func (t *trail) recordChange(ctx context.Context, p Principal, entry auditor.Entry) {
	entry.Time, entry.Actor = t.clock.Now(), p.actor()
	t.auditor.Record(ctx, entry)
}

// recordRefusal counts a refused request by code, logs at most one line per code and minute, and writes an audit entry
// within the limit of its class.
func (t *trail) recordRefusal(r *http.Request, p Principal, err error) {
	reply := replyErrorOf(err)
	host, _, splitErr := net.SplitHostPort(r.RemoteAddr)
	if splitErr != nil {
		host = r.RemoteAddr
	}
	t.meter.Counter(fmt.Sprintf("administrator_refused{code=\"%d\"}", reply.Code)).Inc(1)
	t.limited.Warn(fmt.Sprint(reply.Code), "request refused", zap.Int("code", int(reply.Code)),
		zap.String("actor", p.actor()), zap.String("path", r.URL.Path), zap.String("address", host),
		zap.String("reason", reply.Reason))
	omitted, allowed := t.allowEntry(p)
	if !allowed {
		return
	}
	reason := reply.Reason
	if omitted > 0 {
		reason += fmt.Sprintf(" (%d refusals before this one are not in the trail)", omitted)
	}
	subject := reply.Subject
	if subject == "" {
		subject = r.URL.Path
	}
	t.auditor.Record(r.Context(), auditor.Entry{
		Time: t.clock.Now(), Actor: p.actor(), Action: "refuse " + r.Method + " " + r.URL.Path, Subject: subject,
		Code: reply.Code, Reason: reason + ", from " + host,
	})
}

// allowEntry reports whether a refusal gets an audit entry, and how many refusals were omitted since the last entry.
func (t *trail) allowEntry(p Principal) (uint64, bool) {
	name := "unknown"
	switch {
	case p.Operator:
		name = "operator"
	case p.Account != "":
		name = p.ownSource() // the number of accounts with tokens is bounded, and so is the map
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	class, ok := t.classes[name]
	if !ok {
		class = &refusalClass{limiter: rate.NewLimiter(refusalRate, refusalBurst)}
		t.classes[name] = class
	}
	if !class.limiter.AllowN(timeOf(t.clock.Now()), 1) {
		class.omitted++
		return 0, false
	}
	omitted := class.omitted
	class.omitted = 0
	return omitted, true
}

func timeOf(now timekeeper.Millis) time.Time {
	return time.UnixMilli(int64(now))
}

// codeOf returns the result code of an error, or CodeBadRequest if the error has none.
func codeOf(err error) classifier.Code {
	if code := classifier.CodeOf(err); code != classifier.CodeOK {
		return code
	}
	return classifier.CodeBadRequest
}
