package forwarder

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/retrier"
	"github.com/jasmineproxy/jasmineproxy/internal/router"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
	"github.com/jasmineproxy/jasmineproxy/internal/tracker"
)

// forwardPath is where the host node takes requests on its peer address.
const forwardPath = "/forward"

// outcomePath is the prefix of the outcome query on the caller address.
const outcomePath = "/.jasmine/outcome/"

// Entry is the handler of the caller address.
type Entry struct {
	Options
	matcher   router.Matcher
	transport *http.Transport
	watcher   *watcher
	horizons  horizons
	end       context.CancelFunc

	// Switches of mechanisms, set by tests only.
	noResolve, deliverShort, takeAny, noMemory bool
}

// NewEntry returns the handler of the caller address.
func NewEntry(options Options) *Entry {
	if options.MaxBody <= 0 {
		options.MaxBody = defaultMaxBody
	}
	e := &Entry{Options: options, transport: newTransport(options.Dial, 0)}
	ctx, cancel := context.WithCancel(context.Background())
	e.watcher, e.end = newWatcher(ctx, e), cancel
	return e
}

// Close ends the questions about waiting calls and closes idle connections to host nodes.
func (e *Entry) Close() {
	e.end()
	e.transport.CloseIdleConnections()
}

// ServeHTTP runs one request of a caller to its typed end.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, outcomePath) {
		e.serveOutcome(w, r)
		return
	}
	if e.Gate != nil {
		if !e.Gate.Begin() {
			e.turnAway(w, r, nil, classifier.Refuse(classifier.CodeDraining, e.Name, "the node is draining"))
			return
		}
		defer e.Gate.End()
	}
	c, err := e.accept(w, r)
	if c != nil {
		c.deliverShort, c.takeAny = e.deliverShort, e.takeAny
		w.Header()[headerID] = []string{c.job.ID}
		w.Header()[headerVersion] = []string{strconv.FormatUint(c.route.Version, 10)}
		defer releaseBuffer(c.body)
	}
	if err != nil {
		e.turnAway(w, r, c, failureOf(err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), (c.deadline - e.Clock.Now()).Duration())
	defer cancel()
	if e.Retrier != nil {
		e.Retrier.RecordFirstAttempt(c.job.Service)
	}
	e.run(ctx, w, c)
}

// run makes attempts until one ends the call.
func (e *Entry) run(ctx context.Context, w http.ResponseWriter, c *call) {
	var last *classifier.Error
	for {
		c.job.Attempt++
		member, err := e.Picker.Pick(c.pick)
		if err != nil {
			if last == nil {
				last = failureOf(err)
			}
			e.refuse(w, c, last)
			return
		}
		if c.job.Attempt > 1 {
			w.Header()[HeaderAttempts] = []string{strconv.Itoa(c.job.Attempt)}
		}
		end := e.attempt(ctx, c, &member)
		if end.failure == nil && !e.replace(ctx, c, &member, end) {
			end.deliver(w, c)
			return
		}
		if end.failure == nil {
			end.close()
			c.started = true
			continue
		}
		last = end.failure
		c.started = c.started || last.Outcome != classifier.OutcomeNotRun
		if !e.again(ctx, c, &member, end) {
			e.refuse(w, c, last)
			return
		}
	}
}

// replace decides whether a nested call whose upstream reported a failure is sent to another one, if it is idempotent.
// Upstreams that fail a part of their work are not known by their health, and the run that made the call would be
// lost. Callers make their requests again themselves, and a repeated run would repeat the calls in it as well.
func (e *Entry) replace(ctx context.Context, c *call, member *tracker.Member, end *ending) bool {
	if !c.nested || !c.job.Idempotent || !end.faulty() {
		return false
	}
	shown := *end
	shown.failure = classifier.Unknown(classifier.CodeOutcomeUnknown, c.job.Call, "the upstream answered %d", end.status)
	return e.again(ctx, c, member, &shown)
}

// refuse reports a failure. "Not run" is a statement about the request and not only about its last attempt: an earlier
// attempt may have run, and where an id from a caller is refused without its claim, an earlier presentation of the id.
func (e *Entry) refuse(w http.ResponseWriter, c *call, failure *classifier.Error) {
	uncertain := !c.job.Fresh && !c.job.Idempotent && !c.certain
	if failure.Outcome == classifier.OutcomeNotRun && (uncertain || c.started && !e.noMemory) {
		copied := *failure
		copied.Outcome = classifier.OutcomeUnknown
		failure = &copied
	}
	failure = c.advise(e.Clock.Now(), failure)
	e.logEnd(c, failure)
	e.fail(w, failure)
}

// turnAway refuses a request before its first attempt. An id from the caller may have run when it was presented before,
// so for reasons that lie in this node or this moment, and not in the request, the outcome is unknown.
func (e *Entry) turnAway(w http.ResponseWriter, r *http.Request, c *call, failure *classifier.Error) {
	repeatable := r.Method == http.MethodGet || r.Method == http.MethodHead
	if c != nil {
		repeatable = c.job.Idempotent
	}
	switch failure.Code {
	case classifier.CodeDeadlinePassed, classifier.CodeIsolated, classifier.CodeDraining, classifier.CodeNotReady:
		if r.Header.Get(headerID) != "" && !repeatable && !e.OpaqueIDs && !e.noMemory {
			copied := *failure
			copied.Outcome = classifier.OutcomeUnknown
			failure = &copied
		}
	}
	if now := e.Clock.Now(); failure.Code == classifier.CodeDraining || failure.Code == classifier.CodeNotReady {
		failure = visitor(r, now).advise(now, failure)
	}
	e.logEnd(c, failure)
	e.fail(w, failure)
}

// again decides whether a failed attempt is followed by another.
func (e *Entry) again(ctx context.Context, c *call, member *tracker.Member, end *ending) bool {
	if ctx.Err() != nil || e.Retrier == nil {
		return false
	}
	if end.died {
		c.deaths++
	}
	if !end.unsent {
		c.reached++
	}
	if limit := c.route.Call.Attempts; limit > 0 && c.reached >= limit {
		e.logAttempt(c, member, end, retrier.Decision{Reason: retrier.ReasonAttempts})
		return false
	}
	// The hint of a refusal is about the member that refused, which the next attempt avoids.
	decision := e.Retrier.Decide(retrier.Attempt{
		Service: c.job.Service, Number: c.job.Attempt, Outcome: end.failure.Outcome, Code: end.failure.Code,
		Idempotent: c.job.Idempotent, PartOfRetry: c.inherited, Crashes: c.deaths, Deadline: c.deadline, Unsent: end.unsent,
	})
	e.logAttempt(c, member, end, decision)
	if !decision.Retry {
		return false
	}
	if decision.After > 0 {
		pause(ctx, decision.After)
	}
	c.job.Retry = true
	c.pick.Avoid = append(c.pick.Avoid, member.Name)
	return true
}

// attempt sends the request to one host node and returns how that ended.
func (e *Entry) attempt(ctx context.Context, c *call, member *tracker.Member) *ending {
	e.Picker.Started(member.Name)
	begun := e.Clock.Now()
	end := e.exchange(ctx, c, member)
	end.finished = func() {
		e.Picker.Finished(member.Name, e.report(c, end, e.Clock.Now()-begun))
	}
	if end.failure != nil {
		end.close()
	}
	return end
}

func (e *Entry) report(c *call, end *ending, latency timekeeper.Millis) router.Report {
	report := router.Report{Request: c.pick, Latency: latency, Retry: end.wait}
	report.Running, report.Queued, report.Reported = end.load.Running, end.load.Queued, end.reported
	report.ServiceTime, report.FailurePermille = end.span, end.faults
	report.Failed = end.failure == nil && end.faulty()
	if end.failure != nil {
		report.Code = end.failure.Code
		report.Failed = end.failure.Outcome == classifier.OutcomeUnknown ||
			end.failure.Code == classifier.CodeUpstreamUnreached
	}
	return report
}

// exchange makes the HTTP exchange of an attempt.
func (e *Entry) exchange(ctx context.Context, c *call, member *tracker.Member) *ending {
	remaining := c.deadline - e.Clock.Now()
	reserve := reserveOf(remaining)
	c.job.Host, c.incarnation = member.Name, member.Incarnation
	if remaining <= 2*reserve {
		end := failed(classifier.Refuse(classifier.CodeDeadlinePassed, c.job.Call, "%d ms remain", remaining))
		end.unsent = true
		return end
	}
	c.job.Remaining, c.job.Expires = remaining-2*reserve, c.deadline
	bounded, cancel := context.WithTimeout(ctx, (remaining - reserve).Duration())
	watch := e.watcher.begin(c, member.Peer, cancel)
	response, err := e.transport.RoundTrip(c.request(bounded, member.Peer))
	if err != nil {
		e.watcher.stop(watch)
		cancel()
		end := interrupted(broken(ctx, c, err))
		end.unsent = unsent(err)
		return e.mend(ctx, c, member, end)
	}
	end := receive(ctx, c, response, cancel)
	e.watcher.stop(watch)
	return e.mend(ctx, c, member, end)
}

// mend looks for the outcome of an exchange that broke. An idempotent request is rather sent again.
func (e *Entry) mend(ctx context.Context, c *call, member *tracker.Member, end *ending) *ending {
	if !end.broken || end.failure.Outcome != classifier.OutcomeUnknown || c.job.Idempotent {
		return end
	}
	end.close()
	return e.resolve(ctx, c, member, end.failure)
}

// reserveOf is the part of the remaining time that is kept back at each of two places, so that a host node can report
// how a call ended at its deadline, and this node can ask again over a new connection.
func reserveOf(remaining timekeeper.Millis) timekeeper.Millis {
	return min(max(remaining/20, 2), 50)
}

// request builds the HTTP request to a host node.
func (c *call) request(ctx context.Context, peer string) *http.Request {
	header := make(http.Header, len(c.header)+4)
	passHeaders(header, c.header)
	suppressAgent(header)
	header[headerForward] = []string{c.job.encode()}
	header[headerTarget] = []string{c.job.URI}
	request := &http.Request{
		Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: peer, Path: forwardPath}, Host: c.host,
		Header: header, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	if c.body != nil && len(c.body.bytes) > 0 {
		request.Body = newOnce(c.body)
		request.ContentLength = int64(len(c.body.bytes))
	}
	return request.WithContext(ctx)
}

func (e *Entry) fail(w http.ResponseWriter, failure *classifier.Error) {
	writeFailure(w, failure, e.Clock.Now())
}

// newTransport returns a transport without retries of its own that matter here: bodies cannot be replayed.
func newTransport(dial dialFunc, connections int) *http.Transport {
	if dial == nil {
		dial = dialer.DialContext
	}
	return &http.Transport{
		DialContext:         dial,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 128,
		MaxConnsPerHost:     connections,
		// Below the usual idle limits of servers, since a request on a connection that the server closes at the
		// same moment ends with an unknown outcome.
		IdleConnTimeout:        (15 * timekeeper.Second).Duration(),
		ReadBufferSize:         4 << 10,
		WriteBufferSize:        4 << 10,
		MaxResponseHeaderBytes: 64 << 10,
		ExpectContinueTimeout:  time.Second,
	}
}
