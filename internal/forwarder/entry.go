package forwarder

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
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
}

// NewEntry returns the handler of the caller address.
func NewEntry(options Options) *Entry {
	if options.MaxBody <= 0 {
		options.MaxBody = defaultMaxBody
	}
	return &Entry{Options: options, transport: newTransport(options.Dial, 0)}
}

// Close closes idle connections to host nodes.
func (e *Entry) Close() {
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
			e.fail(w, classifier.Refuse(classifier.CodeDraining, e.Name, "the node is draining"))
			return
		}
		defer e.Gate.End()
	}
	c, err := e.accept(r)
	if c != nil {
		w.Header()[headerID] = []string{c.job.ID}
		w.Header()[headerVersion] = []string{strconv.FormatUint(c.route.Version, 10)}
		defer releaseBuffer(c.body)
	}
	if err != nil {
		e.fail(w, failureOf(err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), (c.deadline - e.Clock.Now()).Duration())
	defer cancel()
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
			e.fail(w, last)
			return
		}
		end := e.attempt(ctx, c, &member)
		if end.failure == nil {
			end.deliver(w, c)
			return
		}
		last = end.failure
		if !e.again(ctx, c, &member, last) {
			e.fail(w, last)
			return
		}
	}
}

// again decides whether a failed attempt is followed by another.
func (e *Entry) again(ctx context.Context, c *call, member *tracker.Member, failure *classifier.Error) bool {
	if ctx.Err() != nil || c.job.Attempt > 2 || c.inherited {
		return false
	}
	if failure.Outcome != classifier.OutcomeNotRun && !c.job.Idempotent {
		return false
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
	if remaining <= 2*reserve {
		return failed(classifier.Refuse(classifier.CodeDeadlinePassed, c.job.Call, "%d ms remain", remaining))
	}
	c.job.Remaining = remaining - 2*reserve
	bounded, cancel := context.WithTimeout(ctx, (remaining - reserve).Duration())
	response, err := e.transport.RoundTrip(c.request(bounded, member.Peer))
	if err != nil {
		cancel()
		return failed(broken(ctx, c, err))
	}
	return receive(ctx, c, response, cancel)
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
		request.Body = newOnce(c.body.bytes)
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
		ReadBufferSize:         8 << 10,
		WriteBufferSize:        8 << 10,
		MaxResponseHeaderBytes: 64 << 10,
		ExpectContinueTimeout:  time.Second,
	}
}
