package forwarder

import (
	"context"
	"net/http"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/deduplicator"
	"github.com/jasmineproxy/jasmineproxy/internal/isolator"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Host is the handler of POST /forward on the peer address.
type Host struct {
	Options
	transport *http.Transport
	exchanger http.RoundTripper // transport with the protocol of the upstream
	attempts  *attempts
	reported  deathCount
	survivors isolator.AnsweredRequests
	spans     spans
	faults    faults

	// Switches of mechanisms, set by tests only.
	noFence, trustRestart bool
}

// NewHost returns the handler of POST /forward.
func NewHost(options Options) *Host {
	if options.MaxBody <= 0 {
		options.MaxBody = defaultMaxBody
	}
	h := &Host{
		Options: options, transport: newTransport(options.Dial, options.Connections), attempts: newAttempts(),
	}
	h.exchanger = h.transport
	if options.WrapTransport != nil {
		h.exchanger = options.WrapTransport(h.transport)
	}
	return h
}

// Close closes idle connections to the upstream.
func (h *Host) Close() {
	h.transport.CloseIdleConnections()
}

// run is one attempt at the host node.
type run struct {
	*job
	writer   http.ResponseWriter
	request  *http.Request
	key      attemptKey
	body     *buffer // the request body, when it is short enough to be read before admission
	deadline timekeeper.Millis
	claim    deduplicator.Request
	claimed  bool
	instance string // id of the upstream's process; empty if it has none
}

// ServeHTTP runs one request that an entry node sent.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Gate != nil {
		if !h.Gate.Begin() {
			w.Header()["Connection"] = []string{"close"} // or later requests would cross the end of this connection
			h.fail(w, classifier.Refuse(classifier.CodeDraining, h.Name, "the node is draining"))
			return
		}
		defer h.Gate.End()
	}
	x, err := h.receive(w, r)
	if err != nil {
		h.fail(w, failureOf(err))
		return
	}
	defer releaseBuffer(x.body)
	ctx, cancel := context.WithTimeout(r.Context(), x.Remaining.Duration())
	defer cancel()
	w.Header()[headerAnswers] = []string{x.key.String()}
	if err = h.attempts.begin(h.Clock.Now(), x.key, &attempt{
		cancel: cancel, expires: x.deadline + attemptGrace, suspect: x.suspect(),
	}); err != nil && !h.noFence {
		h.fail(w, failureOf(err))
		return
	}
	state, code := StateDone, classifier.CodeOK
	defer func() { h.attempts.end(x.key, state, code) }() // also when a broken answer aborts the handler
	var failure *classifier.Error
	if state, failure = h.serve(ctx, x); failure != nil {
		code = failure.Code
		h.logFailure(x, failure)
		h.fail(w, failure)
	}
}

// receive decodes and checks the request. A short body is read before admission, so that the server notices when the
// entry node goes away while the request is queued, and a slow sender holds no slot.
func (h *Host) receive(w http.ResponseWriter, r *http.Request) (*run, error) {
	j, err := decodeJob(r.Header)
	if err != nil {
		return nil, err
	}
	now := h.Clock.Now()
	if j.Host != h.Name {
		return nil, classifier.Refuse(classifier.CodeUpstreamUnreached, j.Call, "node %.64q is not at this address", j.Host)
	}
	if r.Method != http.MethodPost || r.ContentLength < 0 || r.ContentLength > h.MaxBody {
		return nil, classifier.Refuse(classifier.CodePeerInvalid, j.Call, "%s with %d bytes", r.Method, r.ContentLength)
	}
	if !h.OpaqueIDs && now > j.Expires+2*maxSkew {
		return nil, classifier.Refuse(classifier.CodeDeadlinePassed, j.Call, "the request arrived after its deadline")
	}
	x := &run{job: j, writer: w, request: r, key: j.key(), deadline: now + j.Remaining}
	x.claim = deduplicator.Request{
		ID: j.ID, Attempt: j.Attempt, Host: h.Name, Incarnation: h.Incarnation, Account: j.Account, Call: j.Call,
		Fresh: j.Fresh, Deadline: x.deadline,
	}
	if r.ContentLength > 0 && r.ContentLength <= keptBytes {
		x.body = buffers.get()
		if err = fillBy(w, j.Remaining, x.body, r, keptBytes); err != nil {
			releaseBuffer(x.body)
			return nil, bodyFailure(j.Call, err)
		}
	}
	return x, nil
}

func (x *run) suspect() isolator.Key {
	return isolator.Key{ID: x.ID, Account: x.Account, Call: x.Call, Fingerprint: x.Fingerprint}
}

// serve takes a request through isolation, claim, admission and the upstream.
func (h *Host) serve(ctx context.Context, x *run) (State, *classifier.Error) {
	if h.Isolator != nil {
		if err := h.Isolator.Check(x.suspect()); err != nil {
			return StateNotRun, failureOf(err)
		}
	}
	if served, failure := h.claim(ctx, x); served || failure != nil {
		return stateOf(failure), failure
	}
	release, err := h.Queue.Admit(ctx, admitter.Work{
		Account: x.Account, Call: x.Call, Order: x.Order, Share: x.Share, Target: x.Target, Deadline: x.deadline,
		Late: x.Late,
	})
	if err != nil {
		h.unclaim(x)
		return StateNotRun, failureOf(err)
	}
	defer release()
	if failure := x.address(h); failure != nil {
		h.unclaim(x)
		return StateNotRun, failure
	}
	generation := uint64(0)
	if h.Prober != nil {
		generation = h.Prober.Restarts()
	}
	if !h.attempts.start(x.key, generation) && !h.noFence {
		h.unclaim(x)
		return StateNotRun, classifier.Refuse(classifier.CodeCanceled, x.Call, "the entry node gave the attempt up")
	}
	if !x.Idempotent {
		// A run that must not happen twice goes on when the entry node is gone: its record then tells the outcome.
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), (x.deadline - h.Clock.Now()).Duration())
		defer cancel()
		ctx = bounded
	}
	return h.execute(ctx, x, generation)
}

// address names the process of the upstream that is to run the request. It fails when none takes new work.
func (x *run) address(h *Host) *classifier.Error {
	if h.Instance == nil {
		return nil
	}
	id, ok := h.Instance()
	if !ok {
		return classifier.Refuse(classifier.CodeDraining, x.Call, "the upstream takes no new work")
	}
	x.instance = id
	return nil
}

func stateOf(failure *classifier.Error) State {
	if failure != nil && failure.Outcome == classifier.OutcomeNotRun {
		return StateNotRun
	}
	return StateDone
}

// execute runs an admitted request on the upstream, records the end and answers.
func (h *Host) execute(ctx context.Context, x *run, generation uint64) (State, *classifier.Error) {
	begun := h.Clock.Now()
	answer, failure := h.upstream(ctx, x)
	h.faults.add(failure != nil && failure.Outcome == classifier.OutcomeUnknown && ctx.Err() == nil ||
		answer != nil && answer.status >= http.StatusInternalServerError && answer.status != http.StatusGatewayTimeout)
	if failure != nil && failure.Outcome == classifier.OutcomeUnknown {
		h.examine(x, failure, generation)
	}
	h.record(x, answer, failure)
	if failure != nil {
		return stateOf(failure), failure
	}
	span := timekeeper.Millis(0)
	if answer.status < http.StatusInternalServerError {
		span = h.spans.add(x.Call, h.Clock.Now()-begun)
	}
	h.logAnswer(x, answer)
	h.survivors.Add(x.Fingerprint)
	answer.write(x.writer, x.job, encodeLoad(h.Queue.Load(), span, h.faults.value()))
	return StateDone, nil
}

func (h *Host) fail(w http.ResponseWriter, failure *classifier.Error) {
	if h.Queue != nil {
		w.Header()[headerLoad] = []string{encodeLoad(h.Queue.Load(), 0, h.faults.value())}
	}
	writeFailure(w, failure, h.Clock.Now())
}
