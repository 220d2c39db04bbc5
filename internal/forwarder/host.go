package forwarder

import (
	"context"
	"net/http"

	"github.com/jasmineproxy/jasmineproxy/internal/admitter"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

// Host is the handler of POST /forward on the peer address.
type Host struct {
	Options
	transport *http.Transport
}

// NewHost returns the handler of POST /forward.
func NewHost(options Options) *Host {
	if options.MaxBody <= 0 {
		options.MaxBody = defaultMaxBody
	}
	return &Host{Options: options, transport: newTransport(options.Dial, options.Connections)}
}

// Close closes idle connections to the upstream.
func (h *Host) Close() {
	h.transport.CloseIdleConnections()
}

// ServeHTTP runs one request that an entry node sent.
func (h *Host) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Gate != nil {
		if !h.Gate.Begin() {
			h.fail(w, classifier.Refuse(classifier.CodeDraining, h.Name, "the node is draining"))
			return
		}
		defer h.Gate.End()
	}
	j, err := decodeJob(r.Header)
	if err != nil {
		h.fail(w, failureOf(err))
		return
	}
	if r.Method != http.MethodPost || r.ContentLength < 0 || r.ContentLength > h.MaxBody {
		h.fail(w, classifier.Refuse(classifier.CodePeerInvalid, j.Call, "%s with %d bytes", r.Method, r.ContentLength))
		return
	}
	deadline := h.Clock.Now() + j.Remaining
	ctx, cancel := context.WithTimeout(r.Context(), j.Remaining.Duration())
	defer cancel()
	release, err := h.Queue.Admit(ctx, admitter.Work{
		Account: j.Account, Call: j.Call, Order: j.Order, Share: j.Share, Target: j.Target, Deadline: deadline,
	})
	if err != nil {
		h.fail(w, failureOf(err))
		return
	}
	defer release()
	h.execute(ctx, w, r, j, deadline)
}

// execute runs an admitted request on the upstream and answers.
func (h *Host) execute(
	ctx context.Context, w http.ResponseWriter, r *http.Request, j *job, deadline timekeeper.Millis,
) {
	answer, failure := h.upstream(ctx, r, j, deadline)
	if failure != nil {
		h.fail(w, failure)
		return
	}
	answer.write(w, j, encodeLoad(h.Queue.Load()))
}

func (h *Host) fail(w http.ResponseWriter, failure *classifier.Error) {
	if h.Queue != nil {
		w.Header()[headerLoad] = []string{encodeLoad(h.Queue.Load())}
	}
	writeFailure(w, failure, h.Clock.Now())
}
