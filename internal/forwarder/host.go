package forwarder

import (
	"context"
	"errors"
	"net/http"
	"sync"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/budgeter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/deduplicator"
	"github.com/jasmineproxy/jasmineproxy/internal/isolator"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Host handles POST /forward on the peer address of a node.
type Host struct {
	Options
	transport         *http.Transport
	upstreamTransport http.RoundTripper // transport with the protocol of the upstream
	attempts          *attempts
	refusals          refusals
	reportedCrashes   crashCount
	answered          isolator.AnsweredRequests
	serviceTimes      serviceTimes
	failureRate       failureRate

	// Each disables one mechanism; set by tests only.
	noFence, skipRestartCheck bool
}

// NewHost returns the handler of POST /forward.
func NewHost(options Options) *Host {
	if options.MaxBody <= 0 {
		options.MaxBody = defaultMaxBody
	}
	h := &Host{
		Options: options, transport: newTransport(options.Dial, options.Connections, upstreamHeadLines),
		attempts: newAttempts(),
	}
	h.upstreamTransport = h.transport
	if options.WrapTransport != nil {
		h.upstreamTransport = options.WrapTransport(h.transport)
	}
	return h
}

// Close closes idle connections to the upstream.
func (h *Host) Close() {
	h.transport.CloseIdleConnections()
}

// hostAttempt is one attempt at the host node.
type hostAttempt struct {
	*job
	writer   http.ResponseWriter
	request  *http.Request
	key      attemptKey
	body     *buffer       // the request body, if it is short enough to be read before admission
	stream   *streamedBody // a longer one
	deadline timekeeper.Millis
	claim    deduplicator.Request
	claimed  bool
	instance string // id of the upstream's process; empty if it has none
	release  func() // frees the slot of the run
	begun    func() // the response has its turn on the link, or there is none
}

// ServeHTTP serves one request of an entry node.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j, err := decodeJob(r.Header)
	if err == nil {
		w.Header()[headerAnswers] = []string{j.key().String()}
	}
	if h.Gate != nil {
		if !h.Gate.Begin() {
			announceClose(w) // or later requests would race with the close of this connection
			h.fail(w, classifier.Refuse(classifier.CodeDraining, h.Name, "the node is draining"))
			return
		}
		defer h.Gate.End()
	}
	if err != nil {
		h.fail(w, failureOf(err))
		return
	}
	arrived := h.Clock.Now()
	x, err := h.receive(w, r, j)
	if err != nil {
		h.fail(w, failureOf(err))
		return
	}
	defer releaseBuffer(x.body)
	defer x.stream.release()
	ctx, cancel := context.WithTimeout(r.Context(), (arrived + x.Remaining - h.Clock.Now()).Duration())
	defer cancel()
	if err = h.attempts.begin(h.Clock.Now(), x.key, &trackedAttempt{
		cancel: cancel, expires: x.deadline + attemptGrace, isolationKey: x.isolationKey(),
	}); err != nil && !h.noFence {
		h.fail(w, failureOf(err))
		return
	}
	state, code := StateDone, classifier.CodeOK
	defer func() { h.attempts.end(x.key, state, code) }() // also when a truncated response aborts the handler
	var failure *classifier.Error
	if state, failure = h.serve(ctx, x); failure != nil {
		code = failure.Code
		h.logHostFailure(x, failure)
		x.stream.endConnection(w)
		h.fail(w, failure)
	}
}

// receive validates the request of a job. A short body is read before admission, so that the server detects when the
// entry node disconnects while the request is queued, and a slow sender occupies no slot.
func (h *Host) receive(w http.ResponseWriter, r *http.Request, j *job) (*hostAttempt, error) {
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
	x := &hostAttempt{job: j, writer: w, request: r, key: j.key(), deadline: now + j.Remaining}
	h.boundByStop(x)
	x.claim = deduplicator.Request{
		ID: j.ID, Attempt: j.Attempt, Host: h.Name, Incarnation: h.Incarnation, Account: j.Account, Call: j.Call,
		Fresh: j.Fresh, Deadline: x.deadline,
	}
	if err := h.receiveBody(x); err != nil {
		return nil, err
	}
	return x, nil
}

// receiveBody reserves memory for the body of an attempt, and reads a short one. The transport to the upstream reads a
// longer one.
func (h *Host) receiveBody(x *hostAttempt) error {
	length := x.request.ContentLength
	switch {
	case length == 0:
	case length <= maxBufferedBytes:
		reserved, ok := h.Memory.Short(length)
		if !ok {
			announceClose(x.writer)
			return refuseForMemory(x.Call, &budgeter.RefusedError{})
		}
		x.body = buffers.get()
		x.body.reserved = reserved
		if err := fillWithTimeout(x.writer, x.Remaining, x.body, x.request, maxBufferedBytes); err != nil {
			releaseBuffer(x.body)
			return bodyFailure(x.Call, err)
		}
	default:
		reserved, err := h.Memory.Stream(x.request.Context(), length, memoryPatience(x.Remaining))
		if err != nil {
			announceClose(x.writer)
			return refuseForMemory(x.Call, err)
		}
		x.stream = newStreamedBody(x.request.Body, length)
		x.stream.reserved = reserved
		// By default, the server discards or closes the rest of a request body when a response begins. The transport to the
		// upstream may still be reading it, and would close the connection on which the upstream responds.
		err = http.NewResponseController(x.writer).EnableFullDuplex()
		if err != nil && !errors.Is(err, http.ErrNotSupported) {
			x.stream.release()
			return classifier.Refuse(classifier.CodePeerInvalid, x.Call, "the body cannot be streamed: %v", err)
		}
	}
	return nil
}

func (x *hostAttempt) isolationKey() isolator.Key {
	return isolator.Key{ID: x.ID, Account: x.Account, Call: x.Call, Fingerprint: x.Fingerprint}
}

// serve checks crash marks, claims the id, waits for admission and runs the request on the upstream.
func (h *Host) serve(ctx context.Context, x *hostAttempt) (State, *classifier.Error) {
	if h.Isolator != nil {
		if err := h.Isolator.Check(x.isolationKey()); err != nil {
			return StateNotRun, failureOf(err)
		}
	}
	if failure := h.checkCapacity(x); failure != nil {
		return StateNotRun, failure
	}
	defer x.begun()
	if served, failure := h.claim(ctx, x); served || failure != nil {
		return stateOf(failure), failure
	}
	release, err := h.Queue.Admit(ctx, admitter.Work{
		Account: x.flow(), Call: x.Call, Order: x.Order, Share: x.Share, Target: x.Target, Deadline: x.deadline,
		Late: x.Late, Nested: x.Nested,
	})
	if err != nil {
		h.releaseClaim(x)
		return StateNotRun, failureOf(err)
	}
	x.release = sync.OnceFunc(release)
	defer x.release()
	if failure := x.chooseInstance(h); failure != nil {
		h.releaseClaim(x)
		return StateNotRun, failure
	}
	if h.Rollout != nil && !h.Rollout.Begin() {
		h.releaseClaim(x)
		return StateNotRun, refuseForRollout(x)
	}
	restartsBefore := uint64(0)
	if h.Prober != nil {
		restartsBefore = h.Prober.Restarts()
	}
	if !h.attempts.start(x.key, restartsBefore) && !h.noFence {
		h.releaseClaim(x)
		return StateNotRun, classifier.Refuse(classifier.CodeCanceled, x.Call, "the entry node abandoned the attempt")
	}
	if !x.Idempotent {
		// A non-idempotent run continues after the entry node disconnects; its record then holds the outcome.
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), (x.deadline - h.Clock.Now()).Duration())
		defer cancel()
		ctx = bounded
	}
	return h.execute(ctx, x, restartsBefore)
}

// checkCapacity refuses a request for a version of the upstream that takes none, or for a response that would wait too
// long for the link.
func (h *Host) checkCapacity(x *hostAttempt) *classifier.Error {
	if h.Rollout != nil && !h.Rollout.Open() {
		return refuseForRollout(x)
	}
	begun, err := h.Bulk.admit(h.Clock.Now(), x)
	if err != nil {
		return failureOf(err)
	}
	x.begun = begun
	return nil
}

// refuseForRollout returns the refusal of a request for a version that takes none.
func refuseForRollout(x *hostAttempt) *classifier.Error {
	return classifier.Refuse(classifier.CodeDraining, x.Call, "the version of the upstream takes no requests")
}

// chooseInstance sets the upstream process that is to run the request. It fails when no process accepts new work.
func (x *hostAttempt) chooseInstance(h *Host) *classifier.Error {
	if h.Instance == nil {
		return nil
	}
	id, ok := h.Instance()
	if !ok {
		return classifier.Refuse(classifier.CodeDraining, x.Call, "the upstream accepts no new work")
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

// execute runs an admitted request on the upstream, records the outcome and sends the response.
func (h *Host) execute(ctx context.Context, x *hostAttempt, restartsBefore uint64) (State, *classifier.Error) {
	started := h.Clock.Now()
	response, failure := h.callUpstream(ctx, x)
	h.failureRate.add(failure != nil && failure.Outcome == classifier.OutcomeUnknown && ctx.Err() == nil ||
		response != nil && response.status >= http.StatusInternalServerError && response.status != http.StatusGatewayTimeout)
	if failure != nil && failure.Outcome == classifier.OutcomeUnknown {
		h.checkForCrash(x, failure, restartsBefore)
	}
	h.recordForRollout(ctx, x, response, failure, h.Clock.Now()-started)
	h.completeClaim(x, response, failure)
	if failure != nil {
		return stateOf(failure), failure
	}
	serviceTime := timekeeper.Millis(0)
	if response.status < http.StatusInternalServerError {
		serviceTime = h.serviceTimes.add(x.Call, h.Clock.Now()-started)
	}
	complete := response.stream == nil
	if complete {
		x.release() // the upstream has ended the run, whatever time its response takes from here
		h.Bulk.observe(x.Call, x.Method, response.length)
	}
	h.logUpstreamFailure(x, response)
	h.answered.Add(x.Fingerprint)
	x.stream.endConnection(x.writer)
	x.begun()
	turn := h.Bulk.reserve(h.Clock, x.Method, response.length)
	load := encodeLoad(h.Queue.Load(), serviceTime, h.failureRate.permille())
	response.write(x.writer, turn.writer(ctx, x.writer), x.job, load)
	if !complete { // it is now: write panics otherwise
		h.Bulk.observe(x.Call, x.Method, response.length)
	}
	return StateDone, nil
}

// recordForRollout tallies how a run ended, unless its caller left before.
func (h *Host) recordForRollout(
	ctx context.Context, x *hostAttempt, response *upstreamResponse, failure *classifier.Error, took timekeeper.Millis,
) {
	if h.Rollout == nil || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	switch {
	case response != nil:
		h.Rollout.Record(x.Call, response.status >= http.StatusInternalServerError, took)
	case failure.Outcome == classifier.OutcomeUnknown:
		h.Rollout.Record(x.Call, true, took)
	}
}

func (h *Host) fail(w http.ResponseWriter, failure *classifier.Error) {
	if h.Queue != nil {
		w.Header()[headerLoad] = []string{encodeLoad(h.Queue.Load(), 0, h.failureRate.permille())}
	}
	writeFailure(w, failure, h.Clock.Now())
}
