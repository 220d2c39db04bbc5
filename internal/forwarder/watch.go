package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// watchInterval is the time in flight after which a call is polled, and the interval of its polls.
	watchInterval timekeeper.Millis = 250
	// watchTimeout bounds one poll.
	watchTimeout timekeeper.Millis = 500
	// maxFailedPolls is how many polls of a call must fail in a row before its exchange is aborted.
	maxFailedPolls = 2
)

// watcher polls host nodes about calls that are in flight for long, to detect connections that went silent. Polls use
// another connection than the call. An exchange is aborted when the host node does not know the call, has already
// answered it, or does not respond. Calls that end within watchInterval cause no poll.
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
	abort       func() // nil once the exchange ended or was aborted
	timer       *time.Timer
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
	exchange := &watchedExchange{query: c.query(), peer: peer, abort: abort}
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
}

// poll queries the state of the calls at one peer until none are left.
func (w *watcher) poll(peer string) {
	ticker := time.NewTicker(watchInterval.Duration())
	defer ticker.Stop()
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
		err := w.entry.Caller.Call(w.ctx, peer, outcomeMethod, &arguments, &reply, watchTimeout)
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

// recordPoll counts consecutive failed polls of each call and reports whether it aborted an exchange. Other idle
// connections to the peer have probably gone silent too.
func (w *watcher) recordPoll(calls []*watchedExchange, reply *OutcomeReply, err error) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	aborted := false
	for i, exchange := range calls {
		if err == nil && i < len(reply.Statuses) {
			state := reply.Statuses[i].State
			if state == StateQueued || state == StateRunning {
				exchange.failedPolls = 0
				continue
			}
		}
		exchange.failedPolls++
		if exchange.failedPolls >= maxFailedPolls && exchange.abort != nil {
			exchange.abort()
			exchange.abort = nil
			delete(w.peers[exchange.peer], exchange)
			aborted = true
		}
	}
	return aborted
}
