package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/retrier"
	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// watchInterval is the time in flight after which a call is polled, and the interval of its polls.
	watchInterval timekeeper.Millis = 250
	// watchTimeout bounds the first poll of a peer, and slowWatchTimeout a poll after one without a response.
	watchTimeout     timekeeper.Millis = 500
	slowWatchTimeout timekeeper.Millis = 1000
	// maxFailedPolls is how many polls in a row must fail, the last one with a response that the call is not in flight,
	// before its exchange is aborted.
	maxFailedPolls = 2
	// silenceTimeout is how long a peer must have responded to no poll before an exchange is aborted without evidence
	// about the call. A machine under load or behind a full link can take over a second for a response.
	silenceTimeout = 2 * timekeeper.Second
)

// watcher polls host nodes about calls that are in flight for long, to detect connections that went silent. Polls use
// another connection than the call. An exchange is aborted when the host node does not know the call or has already
// answered it. If the host node does not respond, the exchange is aborted only after silenceTimeout and only if another
// attempt can follow: a slow machine is still at work on the call, and the caller would get a failure in its place.
// Calls that end within watchInterval cause no poll.
type watcher struct {
	entry    *Entry
	mutex    sync.Mutex
	peers    map[string]map[*watchedExchange]bool
	ctx      context.Context // ends when the entry node closes
	disabled bool            // set by tests only
}

// watchedExchange is an exchange in flight that is polled.
type watchedExchange struct {
	query       Query
	peer        string
	retryable   bool   // another attempt may follow if the outcome of this one is unknown
	abort       func() // nil once the exchange ended or was aborted
	timer       *time.Timer
	heard       timekeeper.Millis // time of the last poll with a response, or of the first poll
	failedPolls int
}

func newWatcher(ctx context.Context, e *Entry) *watcher {
	return &watcher{entry: e, ctx: ctx, peers: make(map[string]map[*watchedExchange]bool)}
}

// begin watches an exchange until stop is called.
func (w *watcher) begin(c *call, peer string, abort func()) *watchedExchange {
	if w.disabled || w.entry.Caller == nil {
		return nil
	}
	exchange := &watchedExchange{query: c.query(), peer: peer, retryable: c.mayFollow(), abort: abort}
	exchange.timer = time.AfterFunc(watchInterval.Duration(), func() { w.add(exchange) })
	return exchange
}

func (w *watcher) stop(exchange *watchedExchange) {
	if exchange == nil || exchange.timer.Stop() {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	exchange.abort = nil
	delete(w.peers[exchange.peer], exchange)
}

func (w *watcher) add(exchange *watchedExchange) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if exchange.abort == nil {
		return
	}
	calls := w.peers[exchange.peer]
	if calls == nil {
		calls = make(map[*watchedExchange]bool)
		w.peers[exchange.peer] = calls
		go w.poll(exchange.peer)
	}
	calls[exchange] = true
	exchange.heard = w.entry.Clock.Now()
}

// poll queries the state of the calls at one peer until none are left.
func (w *watcher) poll(peer string) {
	ticker := time.NewTicker(watchInterval.Duration())
	defer ticker.Stop()
	timeout := watchTimeout
	for {
		calls := w.list(peer)
		if len(calls) == 0 {
			return
		}
		arguments := OutcomeArguments{Format: Format}
		for _, exchange := range calls {
			arguments.Queries = append(arguments.Queries, exchange.query)
		}
		var reply OutcomeReply
		err := w.entry.Caller.Call(w.ctx, peer, outcomeMethod, &arguments, &reply, timeout)
		timeout = watchTimeout
		if err != nil {
			timeout = slowWatchTimeout
		}
		if w.recordPoll(calls, &reply, err) {
			w.entry.transport.CloseIdleConnections()
		}
		select {
		case <-ticker.C:
		case <-w.ctx.Done():
			return
		}
	}
}

// list returns up to maxQueries calls at a peer. When none are left it removes the peer, and polling stops.
func (w *watcher) list(peer string) []*watchedExchange {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	calls := make([]*watchedExchange, 0, maxQueries)
	for exchange := range w.peers[peer] {
		if len(calls) == maxQueries {
			break
		}
		calls = append(calls, exchange)
	}
	if len(calls) == 0 {
		delete(w.peers, peer)
	}
	return calls
}

// recordPoll applies the result of a poll to its calls and reports whether it aborted an exchange. Other idle
// connections to the peer have probably gone silent too.
func (w *watcher) recordPoll(calls []*watchedExchange, reply *OutcomeReply, err error) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	now := w.entry.Clock.Now()
	aborted := false
	for i, exchange := range calls {
		state := State("")
		if err == nil && i < len(reply.Statuses) {
			state = reply.Statuses[i].State
		}
		if exchange.abort == nil || !exchange.mustAbort(now, state) {
			continue
		}
		w.entry.logAbandonedExchange(exchange, state, err)
		exchange.abort()
		exchange.abort = nil
		delete(w.peers[exchange.peer], exchange)
		aborted = true
	}
	return aborted
}

// mustAbort records the state of a call according to a poll, empty if the poll got no response, and reports whether its
// exchange must be aborted.
func (w *watchedExchange) mustAbort(now timekeeper.Millis, state State) bool {
	switch state {
	case StateQueued, StateRunning:
		w.failedPolls, w.heard = 0, now
		return false
	case "":
		w.failedPolls++
		return w.retryable && now-w.heard >= silenceTimeout
	}
	w.failedPolls, w.heard = w.failedPolls+1, now
	return w.failedPolls >= maxFailedPolls
}

// mayFollow reports whether another attempt may follow the current one if its outcome is unknown.
func (c *call) mayFollow() bool {
	limit := c.route.Call.Attempts
	return c.job.Idempotent && !c.partOfRetry && c.job.Attempt < retrier.MaxAttempts && (limit == 0 || c.reached+1 < limit)
}
