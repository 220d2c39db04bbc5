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
	"github.com/jasmineproxy/jasmineproxy/internal/verifier"
)

// forwardPath is the path of requests from entry nodes on the peer address of a host node.
const forwardPath = "/forward"

// outcomePath is the prefix of the outcome query on the caller address.
const outcomePath = "/.jasmine/outcome/"

// Entry handles the requests to the caller address of a node.
type Entry struct {
	Options
	matcher        router.Matcher
	transport      *http.Transport
	watcher        *watcher
	remainingTimes remainingTimes
	exchangeTimes  serviceTimes // of answered attempts, with the wait for a slot
	attempts       attemptCount
	stopWatcher    context.CancelFunc

	// Each disables one mechanism; set by tests only.
	noResolve, deliverTruncated, skipMatch, keepNotRun bool
}

// NewEntry returns the handler of the caller address.
func NewEntry(options Options) *Entry {
	if options.MaxBody <= 0 {
		options.MaxBody = defaultMaxBody
	}
	e := &Entry{
		Options: options, transport: newTransport(options.Dial, 0, hostHeadLines),
		attempts: newAttemptCount(options.MaxAttempts),
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.watcher, e.stopWatcher = newWatcher(ctx, e), cancel
	return e
}

// Close stops polling host nodes about calls in flight and closes idle connections to them.
func (e *Entry) Close() {
	e.stopWatcher()
	e.transport.CloseIdleConnections()
}

// ServeHTTP serves one request of a caller. Each response states a typed outcome.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.Contains(r.RequestURI, outcomePath) {
		if t, err := targetOf(r); err == nil && strings.HasPrefix(t.path, outcomePath) {
			e.serveOutcome(w, r, t.path[len(outcomePath):])
			return
		}
	}
	if failure := e.checkFraming(w, r); failure != nil {
		e.rejectBeforeAttempt(w, r, nil, failure)
		if !r.ProtoAtLeast(1, 1) { // net/http reads no chunks of HTTP/1.0
			discardRest(w)
		}
		return
	}
	if failure := checkDecidingHeaders(r); failure != nil {
		e.rejectBeforeAttempt(w, r, nil, failure)
		return
	}
	if e.Gate != nil {
		if !e.Gate.Begin() {
			e.rejectBeforeAttempt(w, r, nil, classifier.Refuse(classifier.CodeDraining, e.Name, "the node is draining"))
			return
		}
		defer e.Gate.End()
	}
	c, err := e.accept(w, r)
	if c != nil {
		c.deliverTruncated, c.skipMatch = e.deliverTruncated, e.skipMatch
		w.Header()[headerID] = []string{c.job.ID}
		w.Header()[headerVersion] = []string{strconv.FormatUint(c.route.Version, 10)}
		defer releaseBuffer(c.body)
	}
	if err != nil {
		e.rejectBeforeAttempt(w, r, c, failureOf(err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), (c.deadline - e.Clock.Now()).Duration())
	defer cancel()
	if e.Retrier != nil {
		e.Retrier.RecordFirstAttempt(c.job.Service)
	}
	if e.Hedger != nil {
		e.Hedger.Earn(c.job.Service)
	}
	e.run(ctx, w, c)
}

// MayRunAhead reports whether a request may start before the ones before it on its connection are answered: its call is
// idempotent, so that its caller may send it again after a connection that ended.
func (e *Entry) MayRunAhead(r *http.Request) bool {
	return e.mayRepeat(r, nil)
}

// decidingHeaders are those of a caller that change how its request is handled.
var decidingHeaders = [...]string{headerID, headerDeadline, headerInternal, headerDepth, headerRetry, headerKey}

// checkFraming refuses a request whose end can be read in two ways. It announces the end of the connection, also
// if that is not known.
func (e *Entry) checkFraming(w http.ResponseWriter, r *http.Request) *classifier.Error {
	if e.CheckFraming == nil {
		return nil
	}
	refusal, known := e.CheckFraming(r)
	if refusal != nil || !known {
		announceClose(w)
	}
	return refusal
}

// checkDecidingHeaders refuses a request whose handling can be read in two ways.
func checkDecidingHeaders(r *http.Request) *classifier.Error {
	for _, name := range decidingHeaders {
		if len(r.Header[name]) > 1 {
			return classifier.Refuse(classifier.CodeBadRequest, name, "the request has the header more than once")
		}
	}
	return nil
}

// run makes attempts until one is answered or must not be retried.
func (e *Entry) run(ctx context.Context, w http.ResponseWriter, c *call) {
	var lastFailure *classifier.Error
	for {
		if failure := e.boundByStop(c); failure != nil {
			e.reportFailure(w, c, failure)
			return
		}
		c.job.Attempt++
		member, err := e.Picker.Pick(c.pick)
		if err != nil {
			if lastFailure == nil {
				lastFailure = failureOf(err)
			}
			e.reportFailure(w, c, lastFailure)
			return
		}
		if c.job.Attempt > 1 {
			w.Header()[HeaderAttempts] = []string{strconv.Itoa(c.job.Attempt)}
		}
		if failure := e.attempts.acquire(ctx, c, c.deadline-e.Clock.Now()); failure != nil {
			e.reportFailure(w, c, failure)
			return
		}
		sent := e.sendHedged(ctx, c, member)
		sent.result.onEnd(e.attempts.release)
		c, member = sent.call, sent.member
		result := sent.result
		if result.failure == nil && !e.retryNested(ctx, c, &member, result) {
			result.finish()
			e.deliver(ctx, w, c, result)
			return
		}
		if result.failure == nil {
			result.close()
			c.mayHaveRun = true
			continue
		}
		lastFailure = result.failure
		c.mayHaveRun = c.mayHaveRun || lastFailure.Outcome != classifier.OutcomeNotRun
		if !e.prepareRetry(ctx, c, &member, result) {
			e.reportFailure(w, c, lastFailure)
			return
		}
	}
}

// deliver writes a response to the caller. A long one ends with the deadline of the call, also if the caller does not
// read it: it would hold memory for as long as the connection is open.
func (e *Entry) deliver(ctx context.Context, w http.ResponseWriter, c *call, result *attemptResult) {
	body := e.Bulk.reserve(e.Clock, c.job.Method, result.length).writer(ctx, w)
	if result.stream == nil {
		result.deliver(w, body, c)
		return
	}
	control := http.NewResponseController(w)
	bounded := control.SetWriteDeadline(time.Now().Add((c.deadline - e.Clock.Now()).Duration())) == nil
	result.deliver(w, body, c)
	if bounded {
		_ = control.SetWriteDeadline(time.Time{})
	}
}

// retryNested decides whether an idempotent nested call that got a server error is sent to another upstream. Health
// checks do not detect an upstream that fails only some of its requests, and without the retry the run that made the
// nested call would fail. Other callers retry their requests themselves, and a repeated run would also repeat its
// nested calls.
func (e *Entry) retryNested(ctx context.Context, c *call, member *tracker.Member, result *attemptResult) bool {
	if !c.job.Nested || !c.job.Idempotent || !result.upstreamFailed() {
		return false
	}
	asFailure := *result
	asFailure.failure = classifier.Unknown(classifier.CodeOutcomeUnknown, c.job.Call, "the upstream answered %d",
		result.status)
	return e.prepareRetry(ctx, c, member, &asFailure)
}

// reportFailure reports a failure to the caller. "Not run" covers the request and not only its last attempt: an earlier
// attempt may have run, and an id from a caller that is refused before it is claimed may have run when it was sent
// earlier.
func (e *Entry) reportFailure(w http.ResponseWriter, c *call, failure *classifier.Error) {
	if e.Rollout != nil && c.job.Nested && isTransient(failure.Code) {
		e.Rollout.NestedFailed()
	}
	uncertain := !c.job.Fresh && !c.job.Idempotent && !c.neverRan
	if failure.Outcome == classifier.OutcomeNotRun && (uncertain || c.mayHaveRun && !e.keepNotRun) {
		copied := *failure
		copied.Outcome = classifier.OutcomeUnknown
		failure = &copied
	}
	e.returnAllotment(c, failure)
	failure = c.withRetryAfter(e.Clock.Now(), failure)
	e.logRequestFailure(c, failure)
	e.fail(w, failure)
}

// rejectBeforeAttempt refuses a request before its first attempt. An id from the caller may have run when it was sent
// earlier, so the outcome is unknown when the reason is temporary or lies in this node and not in the request.
func (e *Entry) rejectBeforeAttempt(w http.ResponseWriter, r *http.Request, c *call, failure *classifier.Error) {
	switch failure.Code {
	case classifier.CodeDeadlinePassed, classifier.CodeIsolated, classifier.CodeDraining, classifier.CodeNotReady:
		if r.Header.Get(headerID) != "" && !e.OpaqueIDs && !e.keepNotRun && !e.mayRepeat(r, c) {
			copied := *failure
			copied.Outcome = classifier.OutcomeUnknown
			failure = &copied
		}
	}
	switch now := e.Clock.Now(); failure.Code {
	case classifier.CodeDraining, classifier.CodeNotReady, classifier.CodeKeysStale:
		failure = unmatchedCall(r, now).withRetryAfter(now, failure)
	case classifier.CodeBodyMemory:
		if c != nil {
			failure = c.withRetryAfter(now, failure)
		}
	}
	e.returnAllotment(c, failure)
	e.logRequestFailure(c, failure)
	if r.Body == nil || r.ContentLength >= 0 && r.ContentLength <= maxDiscarded {
		e.fail(w, failure)
		return
	}
	announceClose(w)
	e.fail(w, failure)
	discardBody(w, r)
}

// mayRepeat reports whether the configured call of a request is idempotent. A request that was matched has c; without a
// configuration or a call the result is false.
func (e *Entry) mayRepeat(r *http.Request, c *call) bool {
	if c != nil {
		return c.job.Idempotent
	}
	view := e.Views.Active()
	if view == nil {
		return false
	}
	t, err := targetOf(r)
	if err != nil {
		return false
	}
	route, err := e.matcher.Match(view, r.Host, r.Method, t.path)
	return err == nil && route.Call.Idempotent
}

// prepareRetry decides whether a failed attempt is retried. If so, it waits for the backoff and excludes the member
// that failed.
func (e *Entry) prepareRetry(ctx context.Context, c *call, member *tracker.Member, result *attemptResult) bool {
	if ctx.Err() != nil || e.Retrier == nil {
		return false
	}
	if result.upstreamCrashed {
		c.crashes++
	}
	if !result.unsent {
		c.reached++
	}
	if limit := c.route.Call.Attempts; limit > 0 && c.reached >= limit {
		e.logAttemptFailure(c, member, result, retrier.Decision{Reason: retrier.ReasonAttempts})
		return false
	}
	// The Retry-After hint of a refusal concerns the member that refused, which the next attempt avoids.
	decision := e.Retrier.Decide(retrier.Attempt{
		Service: c.job.Service, Number: c.job.Attempt, Outcome: result.failure.Outcome, Code: result.failure.Code,
		Idempotent: c.job.Idempotent, PartOfRetry: c.partOfRetry, Crashes: c.crashes, Deadline: c.deadline,
		Unsent: result.unsent,
	})
	e.logAttemptFailure(c, member, result, decision)
	if !decision.Retry {
		return false
	}
	if decision.After > 0 {
		pause(ctx, decision.After)
	}
	c.job.Retry = true
	c.pick.Tried = append(c.pick.Tried, member.Name)
	return true
}

// sendAttempt sends the request to one host node and returns the result.
func (e *Entry) sendAttempt(ctx context.Context, c *call, member *tracker.Member) *attemptResult {
	e.Picker.RecordStart(member.Name)
	started := e.Clock.Now()
	result := e.exchange(ctx, c, member)
	if result.failure == nil {
		elapsed := e.Clock.Now() - started
		e.exchangeTimes.add(c.job.Call, elapsed)
		if e.Hedger != nil {
			e.Hedger.Observe(c.job.Call, elapsed)
		}
	}
	result.onClose = func() {
		e.Picker.RecordEnd(member.Name, e.report(c, result, e.Clock.Now()-started))
	}
	if result.failure != nil {
		result.close()
	}
	return result
}

func (e *Entry) report(c *call, result *attemptResult, latency timekeeper.Millis) router.Report {
	report := router.Report{Request: c.pick, Latency: latency, RetryAfter: result.retryDelay}
	report.Running, report.Queued, report.HasLoad = result.load.Running, result.load.Queued, result.loadReported
	report.Capacity = result.load.Capacity
	report.ServiceTime, report.FailurePermille = result.serviceTime, result.failurePermille
	report.Failed = result.failure == nil && result.upstreamFailed()
	if result.failure != nil {
		report.Code = result.failure.Code
		report.Failed = result.failure.Outcome == classifier.OutcomeUnknown ||
			result.failure.Code == classifier.CodeUpstreamUnreached
		if result.hostResponds {
			report.Code = classifier.CodeOutcomeUnknown // the connection failed, not the node
		}
		if c.calledOff != nil && c.calledOff.Load() {
			report.Code, report.Failed = classifier.CodeCanceled, false
		}
	}
	return report
}

// exchange performs the HTTP exchange of an attempt.
func (e *Entry) exchange(ctx context.Context, c *call, member *tracker.Member) *attemptResult {
	remaining := c.deadline - e.Clock.Now()
	reserve := reserveOf(remaining)
	c.job.Host, c.incarnation = member.Name, member.Incarnation
	if remaining <= 2*reserve {
		result := failedResult(classifier.Refuse(classifier.CodeDeadlinePassed, c.job.Call, "%d ms remain", remaining))
		result.unsent = true
		return result
	}
	c.job.Remaining, c.job.Expires = remaining-2*reserve, c.deadline
	bounded, cancel := context.WithTimeout(ctx, (remaining - reserve).Duration())
	watch := e.watcher.begin(c, member.Peer, cancel)
	response, used, err := roundTrip(bounded, e.transport, true, func(ctx context.Context) *http.Request {
		return c.request(ctx, member.Peer)
	})
	if err != nil {
		e.watcher.stop(watch)
		cancel()
		result := brokenResult(exchangeFailure(ctx, c, used, err))
		result.unsent = used.unsent
		return e.resolveBroken(ctx, c, member, result)
	}
	result := e.receive(ctx, c, response, used, cancel)
	e.watcher.stop(watch)
	return e.resolveBroken(ctx, c, member, result)
}

// resolveBroken queries the outcome of an exchange that broke. An idempotent request is retried instead.
func (e *Entry) resolveBroken(
	ctx context.Context, c *call, member *tracker.Member, result *attemptResult,
) *attemptResult {
	if !result.broken || result.failure.Outcome != classifier.OutcomeUnknown || c.job.Idempotent {
		return result
	}
	result.close()
	return e.resolve(ctx, c, member, result.failure)
}

// reserveOf returns the part of the remaining time that is reserved twice: for a host node to report how a call ended
// at its deadline, and for this node to query the outcome over a new connection.
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
	if size := c.body.size(); size > 0 {
		setBody(request, newOnceBody(c.body), size)
	} else {
		setNoContent(request, c.body != nil || c.header[headerContentLength] != nil)
	}
	return request.WithContext(ctx)
}

func (e *Entry) fail(w http.ResponseWriter, failure *classifier.Error) {
	writeFailure(w, failure, e.Clock.Now())
}

// newTransport returns a transport for requests whose body is set by setBody or setNoContent. maxHeadLines bounds the
// lines before the body of a response.
func newTransport(dial dialFunc, connections, maxHeadLines int) *http.Transport {
	if dial == nil {
		dial = dialer.DialContext
	}
	return &http.Transport{
		DialContext:         observeConnections(dial, maxHeadLines),
		DisableCompression:  true,
		MaxIdleConnsPerHost: 128,
		MaxConnsPerHost:     connections,
		// Below the usual idle timeouts of servers: a request on a connection that the server is closing ends with an
		// unknown outcome.
		IdleConnTimeout:        (15 * timekeeper.Second).Duration(),
		ReadBufferSize:         4 << 10,
		WriteBufferSize:        4 << 10,
		MaxResponseHeaderBytes: verifier.MaxHead,
		ExpectContinueTimeout:  time.Second,
	}
}
