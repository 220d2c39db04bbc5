package forwarder

import (
	"context"
	"sync"
	"time"

	"github.com/jasmineproxy/jasmineproxy/internal/timekeeper"
)

const (
	// watchSpan is the wait after which a call is asked about, and the interval of the questions.
	watchSpan timekeeper.Millis = 250
	// watchTimeout bounds one question.
	watchTimeout timekeeper.Millis = 500
	// watchLimit is how many answers in a row have to speak against the connection of a call.
	watchLimit = 2
)

// watcher asks host nodes about calls that wait for long. It finds connections that went silent: the question takes
// another way, and the connection of a call is given up when the host node does not know the call, has answered it
// before, or does not respond. It costs nothing for calls that end within watchSpan.
type watcher struct {
	entry *Entry
	mutex sync.Mutex
	peers map[string]map[*watched]bool
	ctx   context.Context // ends with the entry node
	off   bool            // set by tests only
}

// watched is an exchange under watch.
type watched struct {
	query   Query
	peer    string
	give    func() // ends the exchange
	timer   *time.Timer
	against int
}

func newWatcher(ctx context.Context, e *Entry) *watcher {
	return &watcher{entry: e, ctx: ctx, peers: make(map[string]map[*watched]bool)}
}

// begin watches an exchange until stop is called.
func (w *watcher) begin(c *call, peer string, give func()) *watched {
	if w.off || w.entry.Caller == nil {
		return nil
	}
	one := &watched{query: c.query(), peer: peer, give: give}
	one.timer = time.AfterFunc(watchSpan.Duration(), func() { w.add(one) })
	return one
}

func (w *watcher) stop(one *watched) {
	if one == nil || one.timer.Stop() {
		return
	}
	w.mutex.Lock()
	defer w.mutex.Unlock()
	one.give = nil
	delete(w.peers[one.peer], one)
}

func (w *watcher) add(one *watched) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if one.give == nil {
		return
	}
	calls := w.peers[one.peer]
	if calls == nil {
		calls = make(map[*watched]bool)
		w.peers[one.peer] = calls
		go w.ask(one.peer)
	}
	calls[one] = true
}

// ask sends the questions about the calls at one peer until there are none.
func (w *watcher) ask(peer string) {
	ticker := time.NewTicker(watchSpan.Duration())
	defer ticker.Stop()
	for {
		calls := w.list(peer)
		if len(calls) == 0 {
			return
		}
		arguments := OutcomeArguments{Format: Format}
		for _, one := range calls {
			arguments.Queries = append(arguments.Queries, one.query)
		}
		var reply OutcomeReply
		err := w.entry.Caller.Call(w.ctx, peer, outcomeMethod, &arguments, &reply, watchTimeout)
		if w.judge(calls, &reply, err) {
			w.entry.transport.CloseIdleConnections()
		}
		select {
		case <-ticker.C:
		case <-w.ctx.Done():
			return
		}
	}
}

// list returns calls at a peer, or none after the last one ended; then the questions stop.
func (w *watcher) list(peer string) []*watched {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	calls := make([]*watched, 0, maxQueries)
	for one := range w.peers[peer] {
		if len(calls) == maxQueries {
			break
		}
		calls = append(calls, one)
	}
	if len(calls) == 0 {
		delete(w.peers, peer)
	}
	return calls
}

// judge counts what speaks against the connections, and reports whether one was given up. Other idle connections to the
// peer are likely to be silent too.
func (w *watcher) judge(calls []*watched, reply *OutcomeReply, err error) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	given := false
	for i, one := range calls {
		if err == nil && i < len(reply.Findings) {
			state := reply.Findings[i].State
			if state == StateQueued || state == StateRunning {
				one.against = 0
				continue
			}
		}
		one.against++
		if one.against >= watchLimit && one.give != nil {
			one.give()
			one.give = nil
			delete(w.peers[one.peer], one)
			given = true
		}
	}
	return given
}
