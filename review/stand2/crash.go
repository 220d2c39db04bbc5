//go:build review2

package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	crashPath   = "/unsafe/crash"
	crashPause  = 4 * time.Second // between two times at which the request comes, at two machines each time
	crashTime   = 84 * time.Second
	backAfter   = 3 * time.Second // from the crash of a server to its next start
	crashStable = 3 * time.Second // StableWindowS
	mayReach    = 3               // retries that may reach servers after that
)

// attempt is one attempt of a client at the request that crashes servers.
type attempt struct {
	id      string
	machine string
	sent    time.Time
	answer  answer
}

// crashing is a server that ends when it runs the request that crashes it, and is back some seconds later.
type crashing struct {
	node   *node
	number int
	mutex  sync.Mutex
	now    *server
	starts int
	onRun  func(run)
	crash  func(run)
	record *record
}

func (c *crashing) start() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.starts++
	id := fmt.Sprintf("i-%d-%d", c.number, c.starts)
	c.now = startServer(c.node, id, 18, 870*time.Millisecond, func(started run) {
		c.onRun(started)
		if started.path == crashPath {
			c.end(started)
		}
	})
	c.now.work = func(q *http.Request) time.Duration {
		if q.URL.Path == crashPath {
			return time.Second
		}
		return 150 * time.Millisecond
	}
}

// end ends the server of a run and starts another one later.
func (c *crashing) end(started run) {
	c.mutex.Lock()
	current := c.now
	c.mutex.Unlock()
	if current.id != started.instance {
		return
	}
	c.crash(started)
	current.end()
	time.AfterFunc(backAfter, c.start)
}

func init() {
	cases["crash"] = playCrash
}

// playCrash lets a request come again and again that crashes each server which begins to run it.
func playCrash(r *record, temporary string, trouble bool) bool {
	s := startStore()
	s.put("config", "main", configuration(7, "huvo11a", ""))
	m := machine{memory: 284, files: 4100, link: 1000, heartbeat: 0.87}
	var mutex sync.Mutex
	var crashes []time.Time
	reached := make(map[string]bool)
	var nodes []*node
	for i, zone := range []string{"a", "a", "b", "b", "c", "c"} {
		n := newNode(s, temporary, fmt.Sprintf("sidecar-%s-%d", zone, i+1), zone, "huvo11a", m)
		n.start()
		nodes = append(nodes, n)
	}
	awaitReady(nodes...)
	for i, n := range nodes {
		c := &crashing{node: n, number: i + 1, record: r}
		c.onRun = func(started run) {
			mutex.Lock()
			defer mutex.Unlock()
			reached[started.id] = true
		}
		c.crash = func(started run) {
			mutex.Lock()
			defer mutex.Unlock()
			crashes = append(crashes, started.at)
			r.say("%.3f: server %s begins to run %s and crashes", started.at.Sub(r.start).Seconds(), started.instance, started.id)
		}
		c.start()
	}
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	var group sync.WaitGroup
	var served, lost atomic.Int64
	for i := range 4 * len(nodes) {
		n := nodes[i%len(nodes)]
		group.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				a := request("POST", n.caller, "one.example", "/unsafe/x", fmt.Sprintf("o%d-%d", i, k), 4*time.Second, nil, "ordinary")
				if a.status == 200 {
					served.Add(1)
				} else if a.status != 503 {
					lost.Add(1)
					r.add("ordinary request o%d-%d gets %d %v", i, k, a.status, a.err)
				}
			}
		})
	}
	var attempts []*attempt
	path, began := crashPath, time.Now()
	if !trouble {
		path = "/unsafe/harmless"
	}
	for k := 0; time.Since(began) < crashTime; k++ {
		for i := range 2 {
			a := &attempt{id: fmt.Sprintf("crash-%d-%d", k, i), machine: nodes[(2*k+i*3)%len(nodes)].name, sent: time.Now()}
			attempts = append(attempts, a)
			n := nodes[(2*k+i*3)%len(nodes)]
			group.Go(func() {
				a.answer = request("POST", n.caller, "one.example", path, a.id, 4*time.Second, nil, "the same body")
			})
		}
		time.Sleep(crashPause)
	}
	close(stop)
	group.Wait()
	mutex.Lock()
	defer mutex.Unlock()
	r.say("%d ordinary requests served, %d lost; %d crashes of servers", served.Load(), lost.Load(), len(crashes))
	if len(crashes) < 3 {
		return false
	}
	slices.SortFunc(crashes, time.Time.Compare)
	bound, late := crashes[2].Add(crashStable), 0
	for _, a := range attempts {
		ran := reached[a.id]
		r.add("%s sent at %s at %.3f: %d %v; it reached a server: %v", a.id, a.machine, a.sent.Sub(r.start).Seconds(),
			a.answer.status, a.answer.err, ran)
		if ran && a.sent.After(bound) {
			late++
			r.say("%s, sent at %.3f, reached a server", a.id, a.sent.Sub(r.start).Seconds())
		}
	}
	r.say("the third crash was at %.3f; %d retries that were sent more than %v later reached servers, allowed are %d",
		crashes[2].Sub(r.start).Seconds(), late, crashStable, mayReach)
	return late > mayReach
}
