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
		services := []string{"desk", "archive"}
		before := route("r-book", "/book/", "unsafe", "desk", 2, 1.2, 2)
		s, nodes, apps := startMesh(configuration(7, services, before), "/book/0", 20*time.Millisecond, "desk", "desk", "archive")
		serviceOf := map[string]string{}
		for _, app := range apps {
			serviceOf[app.id] = app.service
		}
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
