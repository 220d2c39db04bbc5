package main

import (
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	uploadBytes = 60 << 20 // below MaxBodyBytes of the configuration, 64 MiB
	uploadPace  = 20 << 20 // bytes a second of one client
	usual       = 2        // uploads at the same time on a machine on a usual day
	burstFactor = 2.5      // the sites' bursts go up to 2.6
	rounds      = 3
)

// pacedBody is a body of zeros that arrives at uploadPace.
type pacedBody struct {
	left    int
	started time.Time
}

func (p *pacedBody) Read(target []byte) (int, error) {
	if p.started.IsZero() {
		p.started = time.Now()
	}
	if p.left == 0 {
		return 0, io.EOF
	}
	n := min(len(target), p.left, 64<<10)
	due := time.Duration(float64(uploadBytes-p.left) / uploadPace * float64(time.Second))
	time.Sleep(time.Until(p.started.Add(due)))
	clear(target[:n])
	p.left -= n
	return n, nil
}

// residentMiB returns the resident memory of a process.
func residentMiB(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmRSS:" {
			kib, _ := strconv.Atoi(fields[1])
			return kib >> 10
		}
	}
	return 0
}

// enforceMemory does what the platform does: it kills a process over its limit and starts it again after a short delay.
func enforceMemory(n *node, peak, kills *atomic.Int64, end <-chan struct{}) {
	for {
		select {
		case <-end:
			return
		case <-time.After(20 * time.Millisecond):
		}
		used := int64(residentMiB(n.command.Process.Pid))
		peak.Store(max(peak.Load(), used))
		if used <= memoryMB {
			continue
		}
		record.add("platform: node %s uses %d MiB, over its limit of %d, and is killed", n.name, used, memoryMB)
		kills.Add(1)
		_ = n.command.Process.Kill()
		<-n.ended
		time.Sleep(time.Second)
		n.start()
	}
}

// uploads: a burst of long bodies, each within the limit that the configuration states.
func init() {
	cases["uploads"] = func(trouble bool) (bool, string) {
		_, nodes, _ := startMesh(configuration(7, []string{"desk"},
			route("r-upload", "/upload/", "unsafe", "desk", 7, 1.2, 2),
			route("r-check", "/check/", "safe", "desk", 1.5, 0.5, 1)), "/check/0", 20*time.Millisecond, "desk", "desk", "desk")
		end := make(chan struct{})
		peaks, kills := make([]atomic.Int64, 3), make([]atomic.Int64, 3)
		var watchers, checks sync.WaitGroup
		for i, n := range nodes {
			watchers.Go(func() { enforceMemory(n, &peaks[i], &kills[i], end) })
		}
		var cut, asked atomic.Int64
		checks.Go(func() { // short requests on the same machines
			for i := 0; ; i++ {
				select {
				case <-end:
					return
				case <-time.After(50 * time.Millisecond):
				}
				checks.Go(func() {
					asked.Add(1)
					if send(nodes[i%2], "GET", fmt.Sprintf("/check/%d", i), nil, 0, 3*time.Second).status == 0 {
						cut.Add(1)
					}
				})
			}
		})
		parallel := usual
		if trouble {
			parallel = usual * burstFactor
		}
		var served, lost atomic.Int64
		for round := range rounds {
			var group sync.WaitGroup
			for _, n := range nodes[:2] {
				waitFor("readiness of "+n.name, 15*time.Second, n.isReady)
				for range parallel {
					group.Go(func() {
						a := send(n, "PUT", fmt.Sprintf("/upload/%d", round), &pacedBody{left: uploadBytes}, uploadBytes, 8*time.Second)
						switch a.status {
						case 200:
							served.Add(1)
						case 0:
							lost.Add(1)
						}
					})
				}
			}
			group.Wait()
			time.Sleep(4 * time.Second)
		}
		close(end)
		watchers.Wait()
		checks.Wait()
		ended := 0
		for i := range kills {
			if kills[i].Load() >= rounds {
				ended++
			}
		}
		return ended < 2, fmt.Sprintf("%d uploads at a time; %d served, %d without an answer; %d of %d short requests without an answer; "+
			"ends over the memory limit: %d, %d, %d; peaks %d, %d, %d MiB of %d", parallel, served.Load(), lost.Load(), cut.Load(),
			asked.Load(), kills[0].Load(), kills[1].Load(), kills[2].Load(), peaks[0].Load(), peaks[1].Load(), peaks[2].Load(), memoryMB)
	}
}
