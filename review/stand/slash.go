package main

import (
	"fmt"
	"sync"
	"time"
)

// slash: the operator adds a route to another service. The paths of the clients' requests do not begin with its prefix:
// they have an encoded slash, which is part of a segment, where the prefix has a slash.
func init() {
	cases["slash"] = func(trouble bool) (bool, string) {
		s := newStore()
		platform = serve(s)
		services := []string{"desk", "archive"}
		before := route("r-book", "/book/", "unsafe", "desk", 2, 1.2, 2)
		s.put("config", "main", configuration(7, services, before))
		var nodes []*node
		serviceOf := map[string]string{}
		for i, service := range []string{"desk", "desk", "archive"} {
			app := newServer(fmt.Sprintf("i-%08x", 0x7f3a9100+i), service, "", 6, 20*time.Millisecond)
			n := newNode(fmt.Sprintf("sidecar-a-%d", i+1), "a", service, app.address)
			app.node = n
			serviceOf[app.id] = service
			n.start()
			go app.beat()
			nodes = append(nodes, n)
		}
		for _, n := range nodes {
			waitFor("readiness of "+n.name, 15*time.Second, n.isReady)
		}
		waitFor("a first answer", 15*time.Second, func() bool {
			return send(nodes[0], "POST", "/book/0", nil, 0, 2*time.Second).status == 200
		})
		time.Sleep(4 * time.Second)
		begin := time.Now()
		var group sync.WaitGroup
		changed := false
		for i := 0; time.Since(begin) < 8*time.Second; i++ {
			if trouble && !changed && time.Since(begin) > 2*time.Second {
				changed = true
				s.put("config", "main", configuration(12, services, before,
					route("r-old", "/book/2025/", "unsafe", "archive", 2, 1.2, 2)))
				record.add("operator: version 12 adds route /book/2025/ to archive, confirmed")
			}
			group.Go(func() { send(nodes[i%3], "POST", fmt.Sprintf("/book/2025%%2F%d", i), nil, 0, 4*time.Second) })
			time.Sleep(50 * time.Millisecond)
		}
		group.Wait()
		wrong, first := 0, ""
		runsMutex.Lock()
		defer runsMutex.Unlock()
		for _, list := range runs {
			for _, r := range list {
				if serviceOf[r.server] != "desk" {
					wrong++
					first = r.path
				}
			}
		}
		return wrong == 0, fmt.Sprintf("%d of %d requests ran at a server of archive, such as %q", wrong, len(runs), first)
	}
}
