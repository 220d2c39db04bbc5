//go:build review2

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The machines of the case "memory", and the crowd at each of them.
const (
	memoryMB     = 184                 // MemoryMb
	killAt       = memoryMB * 1.048576 // in 10^6 bytes, if the platform counts in binary units
	roundsNeeded = 3                   // ends of processes of one machine in the day
	rounds       = 5
	crowdSize    = 560
	headFields   = 1_600 // of 40 bytes, in a head of less than MaxHeaderBytes
	longBodies   = 42    // of longBytes
	longBytes    = 1_950_000
	shortBodies  = 280 // of shortBytes
	shortBytes   = 64_000
	heads        = 40 // further heads that stop short of their end
	unread       = 50 // answers of answerBytes that nobody reads
	answerBytes  = 900_000
)

func init() {
	cases["memory"] = playMemory
}

// playMemory lets crowds send requests of legal size to two nodes, and ends a process that exceeds the memory of its
// machine, as the platform does.
func playMemory(r *record, temporary string, trouble bool) bool {
	s := startStore()
	s.put("config", "main", bytes.Replace(configuration(7, "huvo11a", ""), []byte(`"MaxHeaderBytes":16384`),
		[]byte(`"MaxHeaderBytes":65536`), 1))
	m := machine{memory: memoryMB, files: 4100, link: 140, heartbeat: 0.87}
	long := bytes.Repeat([]byte("l"), answerBytes)
	var nodes []*node
	for i := range 2 {
		n := newNode(s, temporary, fmt.Sprintf("sidecar-a-%d", i+1), "a", "huvo11a", m)
		n.start()
		nodes = append(nodes, n)
	}
	awaitReady(nodes...)
	for i, n := range nodes {
		upstream := startServer(n, fmt.Sprintf("i-%d", i+1), 18, 870*time.Millisecond, func(run) {})
		upstream.work = func(q *http.Request) time.Duration {
			if q.URL.Path == "/safe/slow" {
				return 60 * time.Millisecond
			}
			return time.Millisecond
		}
		calm := upstream.body
		upstream.body = func(q *http.Request) []byte {
			if q.URL.Path == "/safe/long" {
				return long
			}
			return calm(q)
		}
	}
	time.Sleep(3 * time.Second)
	ends := make([]atomic.Int32, len(nodes))
	var group sync.WaitGroup
	for i, n := range nodes {
		r.say("%s in calm: %.0f MB of %d", n.name, n.memory("VmRSS"), memoryMB)
		group.Go(func() {
			for round := 1; round <= rounds; round++ {
				if playRound(r, n, round, trouble) {
					ends[i].Add(1)
				}
			}
		})
	}
	group.Wait()
	machines := 0
	for i, n := range nodes {
		r.say("%s: %d ends of its process by its own memory", n.name, ends[i].Load())
		if ends[i].Load() >= roundsNeeded {
			machines++
		}
	}
	return machines >= 2
}

// playRound lets one crowd come to a node, and reports whether the platform had to end its process.
func playRound(r *record, n *node, round int, trouble bool) bool {
	stop := make(chan struct{})
	var exceeded atomic.Bool
	var peak atomic.Int64
	var watching sync.WaitGroup
	watching.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			used := n.memory("VmRSS")
			peak.Store(max(peak.Load(), int64(used)))
			if used > killAt {
				r.say("%s, round %d: the process has %.0f MB, the platform ends it", n.name, round, used)
				exceeded.Store(true)
				n.kill()
				return
			}
		}
	})
	c := &crowd{node: n, round: round, answers: make(map[string]int)}
	if trouble {
		c.sendHeads()
		r.say("%s, round %d: the crowd has sent its heads: %v; %.0f MB", n.name, round, c.answers, n.memory("VmRSS"))
		c.sendBodies()
	} else {
		c.sendOrdinary()
		r.say("%s, round %d: ordinary requests: %v", n.name, round, c.answers)
	}
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end) && !exceeded.Load(); {
		time.Sleep(50 * time.Millisecond)
	}
	close(stop)
	watching.Wait()
	for _, conn := range c.open {
		_ = conn.Close()
	}
	r.say("%s, round %d: peak of %d MB", n.name, round, peak.Load())
	if exceeded.Load() {
		time.Sleep(500 * time.Millisecond)
		n.start()
		awaitReady(n)
		r.say("%s is started again", n.name)
	}
	time.Sleep(2 * time.Second)
	return exceeded.Load()
}

// crowd is the connections of misbehaving clients to one node.
type crowd struct {
	node    *node
	round   int
	mutex   sync.Mutex
	open    []net.Conn
	answers map[string]int
}

func (c *crowd) count(what string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.answers[what]++
}

// sendHeads opens the connections. Each sends a request, and ahead of its answer one of very many short fields, and
// reads both answers.
func (c *crowd) sendHeads() {
	places := make(chan struct{}, 20)
	var group sync.WaitGroup
	for i := range crowdSize {
		group.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			conn, err := net.DialTimeout("tcp", c.node.caller, time.Second)
			if err != nil {
				c.count("no connection")
				return
			}
			c.mutex.Lock()
			c.open = append(c.open, conn)
			c.mutex.Unlock()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(conn, c.head("GET", "/safe/slow", fmt.Sprintf("s%d", i), ""))
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(conn, c.head("GET", "/safe/x", fmt.Sprintf("h%d", i), "Connection: keep-alive\r\n"+c.fields()))
			reader := bufio.NewReader(conn)
			for range 2 {
				response, err := http.ReadResponse(reader, nil)
				if err != nil {
					c.count(err.Error())
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				c.count(response.Status)
			}
		})
	}
	group.Wait()
}

// fields returns very many short header fields.
func (c *crowd) fields() string {
	return strings.Repeat("x-field-of-the-crowd: "+strings.Repeat("v", 16)+"\r\n", headFields)
}

// sendBodies sends bodies that stop short of their end on a part of the connections, and requests whose long answers
// nobody reads on others.
func (c *crowd) sendBodies() {
	var group sync.WaitGroup
	for i, conn := range c.open {
		group.Go(func() {
			id, size := fmt.Sprintf("b%d", i), shortBytes
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			switch {
			case i < unread:
				_, _ = io.WriteString(conn, c.head("GET", "/safe/long", id, ""))
				return
			case i < unread+longBodies:
				size = longBytes
			case i >= crowdSize-heads:
				all := c.head("GET", "/safe/x", id, c.fields())
				_, _ = io.WriteString(conn, all[:len(all)-4])
				return
			case i >= unread+longBodies+shortBodies:
				return
			}
			_, err := io.WriteString(conn, c.head("POST", "/unsafe/x", id, fmt.Sprintf("Content-Length: %d\r\n", size)))
			if err == nil {
				_, _ = conn.Write(make([]byte, size-1))
			}
		})
	}
	group.Wait()
}

// sendOrdinary sends as many ordinary requests of the same kinds, complete and with answers that are read.
func (c *crowd) sendOrdinary() {
	places := make(chan struct{}, 20)
	var group sync.WaitGroup
	for i := range crowdSize {
		group.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			id, path, method, body := fmt.Sprintf("o%d-%d", c.round, i), "/safe/x", "GET", ""
			if i%10 == 0 {
				path = "/safe/long"
			}
			if i%3 == 0 {
				path, method, body = "/unsafe/x", "POST", strings.Repeat("b", shortBytes)
			}
			a := request(method, c.node.caller, "one.example", path, id, 3*time.Second, nil, body)
			c.count(fmt.Sprint(a.status))
		})
	}
	group.Wait()
}

// head returns the head of a request with further header lines.
func (c *crowd) head(method, path, id, lines string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: one.example\r\n%s: %s-%d-%s\r\n%s: 3000\r\n%s\r\n", method, path, headRequest,
		c.node.name, c.round, id, headDeadline, lines)
}
