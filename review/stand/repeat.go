package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// repeat: a server runs unsafe requests and loses some of the answers.
func init() {
	cases["repeat"] = func(trouble bool) (bool, string) {
		s := newStore()
		platform = serve(s)
		s.put("config", "main", configuration(7, []string{"desk"}, route("r-check", "/check/", "unsafe", "desk", 2, 1.2, 2)))
		var losing atomic.Bool
		var answered, lost atomic.Int64
		var nodes []*node
		for i := range 5 {
			app := newServer(fmt.Sprintf("i-%08x", 0x7f3a9100+i), "desk", "", 6, 20*time.Millisecond)
			if i < 3 {
				app.after = func(w http.ResponseWriter, _ *http.Request, id string) bool {
					if !losing.Load() || answered.Add(1)%5 > 1 { // two of five answers
						return false
					}
					lost.Add(1)
					conn, _, err := w.(http.Hijacker).Hijack()
					must(err)
					_ = conn.(*net.TCPConn).SetLinger(0)
					_ = conn.Close()
					record.add("server %s: ran %s and resets the connection in place of the answer", app.id, id)
					return true
				}
			}
			n := newNode(fmt.Sprintf("sidecar-a-%d", i+1), "a", "desk", app.address)
			app.node = n
			n.start()
			go app.beat()
			nodes = append(nodes, n)
		}
		for _, n := range nodes {
			waitFor("readiness of "+n.name, 15*time.Second, n.isReady)
		}
		waitFor("a first answer", 15*time.Second, func() bool {
			return send(nodes[0], http.MethodOptions, "/check/0", nil, 0, 2*time.Second).status == 200
		})
		time.Sleep(2 * time.Second)
		begin := time.Now()
		var group sync.WaitGroup
		for i := 0; time.Since(begin) < 8*time.Second; i++ {
			losing.Store(trouble && time.Since(begin) > 2*time.Second && time.Since(begin) < 6*time.Second)
			method := http.MethodOptions
			if i%5 == 0 {
				method = http.MethodPost
			}
			group.Go(func() { send(nodes[i%5], method, fmt.Sprintf("/check/%d", i), nil, 0, 2*time.Second) })
			time.Sleep(50 * time.Millisecond)
		}
		group.Wait()
		twice := map[string]int{}
		first := ""
		runsMutex.Lock()
		defer runsMutex.Unlock()
		for id, list := range runs {
			if len(list) > 1 {
				twice[list[0].method]++
				first = id
			}
		}
		return len(twice) == 0, fmt.Sprintf("%d answers lost; unsafe requests that ran more than once, by method: %v, such as %q",
			lost.Load(), twice, first)
	}
}
