//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() {
	cases["drain"] = playDrain
}

// playDrain lets a server leave with DELETE while another writer sends pings for it that lack the field born.
func playDrain(r *record, temporary string, trouble bool) bool {
	const (
		drainTime = 2 * time.Second // DrainS
		serveTime = 10 * time.Second
		beat      = 870 * time.Millisecond // HeartbeatS
		// clientsEach is the number of clients of each machine, which with this work send some 60 requests a second.
		clientsEach = 12
		work        = 160 * time.Millisecond
		// foreignPings is the number of pings of another writer, one each HeartbeatS.
		foreignPings = 4
	)
	s := startStore()
	s.put("config", "main", configuration(7, "huvo11a", ""))
	m := machine{memory: 284, files: 4100, link: 1000, heartbeat: beat.Seconds()}
	var nodes []*node
	var servers []*server
	var mutex sync.Mutex
	var runs []run
	for i, zone := range []string{"a", "a", "b", "b"} {
		n := newNode(s, temporary, fmt.Sprintf("sidecar-%s-%d", zone, i+1), zone, "huvo11a", m)
		n.start()
		nodes = append(nodes, n)
	}
	awaitReady(nodes...)
	for i, n := range nodes {
		started := startServer(n, fmt.Sprintf("i-%d", i+1), 18, beat, func(started run) {
			mutex.Lock()
			defer mutex.Unlock()
			runs = append(runs, started)
		})
		started.work = func(*http.Request) time.Duration { return work }
		servers = append(servers, started)
	}
	time.Sleep(4 * time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range clientsEach * len(nodes) {
		n := nodes[i%len(nodes)]
		clients.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				id := fmt.Sprintf("c%d-%d", i, k)
				sent := time.Now()
				a := request("GET", n.caller, "one.example", "/safe/x", id, 3*time.Second, nil, "")
				r.add("client at %s sent %s at %.3f: %d %v", n.name, id, sent.Sub(r.start).Seconds(), a.status, a.err)
			}
		})
	}
	time.Sleep(2 * time.Second)
	leaver := servers[0]
	leaver.silent.Store(true) // it sends nothing after its DELETE
	leaver.leaving.Store(true)
	status := leaver.leave()
	acknowledged := time.Now()
	r.say("server %s sent DELETE, node %s answered %d", leaver.id, leaver.node.name, status)
	if status != 200 {
		unable(fmt.Errorf("the DELETE was not confirmed"))
	}
	if trouble {
		go func() {
			for k := range foreignPings {
				time.Sleep(beat)
				status := leaver.beat("ready", uint64(k+1), 0)
				r.say("another writer sent a ping for %s without born, sequence %d: answered %d", leaver.id, k+1, status)
			}
		}()
	}
	time.Sleep(serveTime)
	leaver.end()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	late := 0
	mutex.Lock()
	defer mutex.Unlock()
	for _, started := range runs {
		after := started.at.Sub(acknowledged)
		if started.instance == leaver.id && after > drainTime {
			late++
			r.add("server %s runs %s, %.3f s after the confirmation that it leaves", leaver.id, started.id, after.Seconds())
		}
	}
	r.say("%d requests in all ran; %d ran at %s later than %v after the confirmation", len(runs), late, leaver.id, drainTime)
	return late > 0
}
