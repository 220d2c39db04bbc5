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
		_, nodes, apps := startMesh(configuration(7, []string{"desk"},
			route("r-check", "/check/", "unsafe", "desk", 2, 1.2, 2)), "/check/0", 20*time.Millisecond, "desk", "desk", "desk", "desk", "desk")
		var losing atomic.Bool
		var answers, lost atomic.Int64
		for _, app := range apps[:3] {
			app.after.Store(func(w http.ResponseWriter, id string) bool {
				if !losing.Load() || answers.Add(1)%5 > 1 { // two of five answers
					return false
				}
				lost.Add(1)
				conn, _, err := w.(http.Hijacker).Hijack()
				must(err)
				if tcp, ok := conn.(*net.TCPConn); ok {
					_ = tcp.SetLinger(0)
				}
				_ = conn.Close()
				record.add("server %s: ran %s and resets the connection in place of the answer", app.id, id)
				return true
			})
		}
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
