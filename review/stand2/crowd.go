//go:build review2

package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	slowReaders  = 1000 // of the crowd
	requestsEach = 8
	pageBytes    = 20_000
	pressTime    = 25 * time.Second // for which the crowd tries
	sendPause    = 700 * time.Millisecond
	ordinary     = 8                // clients that try the door
	triedFor     = 15 * time.Second // by the ordinary clients
	stableTime   = 3 * time.Second  // StableWindowS
)

// narrow makes a connection that takes little: segments as on an Ethernet link, and a small window.
func narrow(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1460)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10)
	})
}

func init() {
	cases["crowd"] = playCrowd
}

// playCrowd lets a crowd of clients send a few ordinary requests each and read no answer, and then tries the door as
// ordinary clients do.
func playCrowd(r *record, temporary string, trouble bool) bool {
	s := startStore()
	s.put("config", "main", configuration(7, "huvo11a", ""))
	n := newNode(s, temporary, "sidecar-a-1", "a", "huvo11a", machine{memory: 284, files: 4100, link: 1000, heartbeat: 0.87})
	n.start()
	awaitReady(n)
	page := bytes.Repeat([]byte("p"), pageBytes)
	upstream := startServer(n, "i-1", 18, 870*time.Millisecond, func(run) {})
	upstream.work = func(*http.Request) time.Duration { return time.Millisecond }
	upstream.body = func(*http.Request) []byte { return page }
	time.Sleep(3 * time.Second)
	a := request("GET", n.caller, "one.example", "/safe/first", "first", 3*time.Second, nil, "")
	r.say("before: an ordinary request gets %d %v", a.status, a.err)
	if a.status != 200 {
		unable(fmt.Errorf("an ordinary request is not served in calm"))
	}
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	var sent, refused atomic.Int64
	if trouble {
		for i := range slowReaders {
			crowd.Go(func() { readNothing(n, i, stop, &sent, &refused) })
		}
		time.Sleep(pressTime)
		r.say("a crowd of %d clients sent %d requests and read nothing; %d connections were refused or closed; the node has "+
			"%.0f MB", slowReaders, sent.Load(), refused.Load(), n.memory("VmRSS"))
	}
	longest := tryDoor(r, n)
	close(stop)
	crowd.Wait()
	time.Sleep(time.Second)
	a = request("GET", n.caller, "one.example", "/safe/last", "last", 3*time.Second, nil, "")
	r.say("after the crowd has gone: an ordinary request gets %d %v; the process lives: %v", a.status, a.err, n.running())
	return longest > stableTime
}

// tryDoor lets ordinary clients send requests on new connections. It returns the longest time in which none of them was
// answered, while the node said that it is ready.
func tryDoor(r *record, n *node) time.Duration {
	var mutex sync.Mutex
	longest, last := time.Duration(0), time.Now()
	note := func() {
		mutex.Lock()
		defer mutex.Unlock()
		longest = max(longest, time.Since(last))
		last = time.Now()
	}
	end := time.Now().Add(triedFor)
	var group sync.WaitGroup
	var tried, answered atomic.Int64
	for i := range ordinary {
		group.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				id := fmt.Sprintf("o%d-%d", i, k)
				tried.Add(1)
				a := request("GET", n.caller, "one.example", "/safe/x", id, 3*time.Second, nil, "")
				r.add("ordinary client %d sent %s on a new connection: %d %v", i, id, a.status, a.err)
				if a.status != 0 {
					answered.Add(1)
					note()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	group.Go(func() {
		for time.Now().Before(end) {
			ready := n.isReady()
			r.add("GET /api/ready: %v", ready)
			if !ready {
				note()
			}
			time.Sleep(time.Second)
		}
	})
	group.Wait()
	note()
	r.say("%d ordinary requests on new connections, %d answered; the longest time without an answer while the node said "+
		"that it is ready: %v", tried.Load(), answered.Load(), longest.Round(10*time.Millisecond))
	return longest
}

// readNothing is one client of the crowd. It sends a few requests on a connection, reads no answer, and stays. It
// connects again when it is refused.
func readNothing(n *node, i int, stop chan struct{}, sent, refused *atomic.Int64) {
	pause := func(d time.Duration) bool {
		select {
		case <-stop:
			return false
		case <-time.After(d):
			return true
		}
	}
	dialer := net.Dialer{Timeout: time.Second, Control: narrow}
	for try := 0; pause(time.Duration(min(i*2, 2000)) * time.Millisecond); try++ {
		conn, err := dialer.Dial("tcp", n.caller)
		for k := 0; err == nil && k < requestsEach; k++ {
			_, err = fmt.Fprintf(conn, "GET /safe/page HTTP/1.1\r\nHost: one.example\r\n%s: s%d-%d-%d\r\n%s: 3000\r\n\r\n",
				headRequest, i, try, k, headDeadline)
			if err == nil {
				sent.Add(1)
			}
			if !pause(sendPause) {
				break
			}
		}
		if err == nil {
			<-stop
		}
		refused.Add(1)
		if conn != nil {
			_ = conn.Close()
		}
	}
}
