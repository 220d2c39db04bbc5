//go:build review2

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() {
	cases["ahead"] = playAhead
}

const (
	slowSenders  = 1000
	bodyLength   = 1000
	bytePause    = 400 * time.Millisecond // between two bytes of a slow body
	aheadClients = 14
	shortWork    = 350 * time.Millisecond
	longWork     = 2100 * time.Millisecond
	playedFor    = 45 * time.Second
	mayLose      = 3
)

// playAhead lets a crowd send bodies very slowly, while ordinary clients send a second safe request before the first
// one is answered.
func playAhead(r *record, temporary string, trouble bool) bool {
	s := startStore()
	s.put("config", "main", bytes.ReplaceAll(configuration(7, "huvo11a", ""), []byte(`"TimeoutS":1.5`), []byte(`"TimeoutS":3`)))
	n := newNode(s, temporary, "sidecar-a-1", "a", "huvo11a", machine{memory: 284, files: 4100, link: 100, heartbeat: 0.87})
	n.start()
	awaitReady(n)
	var ran sync.Map // id to time
	upstream := startServer(n, "i-1", 18, 870*time.Millisecond, func(started run) { ran.Store(started.id, started.at) })
	upstream.work = func(q *http.Request) time.Duration {
		if q.URL.Path == "/safe/long" {
			return longWork
		}
		return shortWork
	}
	time.Sleep(3 * time.Second)
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	var opened atomic.Int64
	if trouble {
		for i := range slowSenders {
			crowd.Go(func() { sendSlowly(n, i, stop, &opened) })
		}
		time.Sleep(4 * time.Second)
	}
	var clients sync.WaitGroup
	var answered, lost atomic.Int64
	end := time.Now().Add(playedFor)
	for i := range aheadClients {
		clients.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				conn, err := net.DialTimeout("tcp", n.caller, time.Second)
				if err != nil {
					time.Sleep(200 * time.Millisecond)
					continue
				}
				reader := bufio.NewReader(conn)
				for round := 0; err == nil && time.Now().Before(end); round++ {
					ids := []string{fmt.Sprintf("p%d-%d-%d-short", i, k, round), fmt.Sprintf("p%d-%d-%d-long", i, k, round)}
					text := ""
					for j, path := range []string{"/safe/short", "/safe/long"} {
						text += fmt.Sprintf("GET %s HTTP/1.1\r\nHost: one.example\r\n%s: %s\r\n%s: 6000\r\n\r\n", path, headRequest, ids[j],
							headDeadline)
					}
					if _, err = io.WriteString(conn, text); err != nil {
						break
					}
					wait := 0.0 // as long as the answers say, in seconds
					for _, id := range ids {
						_ = conn.SetReadDeadline(time.Now().Add(6 * time.Second))
						var response *http.Response
						if response, err = http.ReadResponse(reader, nil); err == nil {
							_, err = io.Copy(io.Discard, response.Body)
						}
						if err == nil {
							answered.Add(1)
							if seconds, failure := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); failure == nil {
								wait = max(wait, seconds)
							}
							r.add("client %d: %s gets %d", i, id, response.StatusCode)
							continue
						}
						if at, ok := ran.Load(id); ok && round > 0 {
							lost.Add(1)
							r.say("client %d: the kept connection ends without an answer to %s (%v), which the server runs since %.3f", i, id, err,
								at.(time.Time).Sub(r.start).Seconds())
						} else {
							r.add("client %d: the connection ends before %s is passed on: %v", i, id, err)
						}
						break
					}
					time.Sleep(time.Duration(min(wait, 2) * float64(time.Second)))
				}
				_ = conn.Close()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	close(stop)
	crowd.Wait()
	r.say("%d connections of the crowd; %d answers; %d kept connections ended without an answer to a request that a sound server "+
		"was running, allowed are %d", opened.Load(), answered.Load(), lost.Load(), mayLose)
	return lost.Load() > mayLose
}

// sendSlowly is one client of the crowd. It sends a body byte by byte, and connects again when that has ended.
func sendSlowly(n *node, i int, stop chan struct{}, opened *atomic.Int64) {
	for try := 0; ; try++ {
		conn, err := net.DialTimeout("tcp", n.caller, time.Second)
		if err == nil {
			opened.Add(1)
			_, err = fmt.Fprintf(conn, "POST /unsafe/x HTTP/1.1\r\nHost: one.example\r\n%s: s%d-%d\r\n%s: 4000\r\n"+
				"Content-Length: %d\r\n\r\n", headRequest, i, try, headDeadline, bodyLength)
		}
		for k := 0; err == nil && k < bodyLength-1; k++ {
			select {
			case <-stop:
				_ = conn.Close()
				return
			case <-time.After(bytePause):
			}
			_, err = conn.Write([]byte("b"))
		}
		if conn != nil {
			_ = conn.Close()
		}
		select {
		case <-stop:
			return
		case <-time.After(200 * time.Millisecond):
		}
	}
}
