package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	drainS  = 2 * time.Second // DrainS of the small sites
	lingerS = 5 * time.Second // how long the server serves after the confirmation; the pages: "at times many seconds"
)

// stray: a ping of another writer, with fields missing, reaches a node before its server leaves.
func init() {
	cases["stray"] = func(trouble bool) (bool, string) {
		_, nodes, apps := startMesh(configuration(7, []string{"desk"},
			route("r-check", "/check/", "unsafe", "desk", 2, 1.2, 2)), "/check/0", 100*time.Millisecond, "desk", "desk", "desk")
		end := make(chan struct{})
		var clients sync.WaitGroup
		clients.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-end:
					return
				case <-time.After(20 * time.Millisecond):
				}
				clients.Go(func() { send(nodes[i%3], "POST", fmt.Sprintf("/check/%d", i), nil, 0, 4*time.Second) })
			}
		})
		leaving := apps[0]
		time.Sleep(2 * time.Second)
		if trouble {
			// Zone, Version and ColdRemainingS are missing.
			acknowledged := ping(nodes[0].control, http.MethodPut, leaving.id, map[string]any{
				"Service": leaving.service, "Address": leaving.address, "Slots": 6, "State": "ready", "Sequence": 100,
				"born": time.Now().UnixMilli(),
			})
			record.add("another writer: ping without Zone, Version and ColdRemainingS to %s, acknowledged %v", nodes[0].name,
				acknowledged)
		}
		time.Sleep(500 * time.Millisecond)
		leaving.draining.Store(true)
		waitFor("the confirmation", 5*time.Second, leaving.ping)
		confirmed := time.Now()
		record.add("server %s: draining is confirmed", leaving.id)
		time.Sleep(lingerS)
		ping(nodes[0].control, http.MethodDelete, leaving.id, nil)
		record.add("server %s: deregistered, ends", leaving.id)
		leaving.stop()
		time.Sleep(time.Second)
		close(end)
		clients.Wait()
		late, cut, last := 0, 0, time.Duration(0)
		runsMutex.Lock()
		defer runsMutex.Unlock()
		for _, list := range runs {
			for _, r := range list {
				if after := r.at.Sub(confirmed); r.server == leaving.id && after > drainS {
					late++
					if !hasAnswer(r.id) {
						cut++
					}
					last = max(last, after)
				}
			}
		}
		return late == 0, fmt.Sprintf("%d requests reached %s later than %v after the confirmation that it is draining, the last one %.1f s after; "+
			"%d of them got no answer of the server, which had ended", late, leaving.id, drainS, last.Seconds(), cut)
	}
}
