package messenger

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/jasmineproxy/jasmineproxy/internal/bubbler"
	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/faker"
)

// Guards against calls to a peer that time out one after the other because all of its kept connections went silent.
func TestSilenceOfAllConnections(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		_, _, network := startServer(t, "a")
		delayed := faker.LinkOptions{Delay: 5} // so that calls at the same time overlap
		link := faker.NewLink(delayed, func(ctx context.Context) (net.Conn, error) {
			return network.Dial(ctx, "tcp", "peer")
		})
		go link.Serve(t.Context(), network.Listen("far"))
		client := NewClient(Options{Zone: "a", Dial: network.dial})
		defer client.Close()
		var group sync.WaitGroup
		for range 4 { // each opens a connection
			group.Go(func() { _ = client.Call(t.Context(), "far", "Echo.Say", &text{"x"}, &text{}, 1000) })
		}
		group.Wait()
		link.Silence()
		failures := 0
		for range 4 {
			if client.Call(t.Context(), "far", "Echo.Say", &text{"x"}, &text{}, 1000) != nil {
				failures++
			}
		}
		if network.dials.Load() != 5 || failures != 1 {
			t.Errorf("%d connections opened and %d calls failed, not 5 and 1", network.dials.Load(), failures)
		}
	})
}

// Guards against replies that reach the wrong call, errors that lose their code, a panic that ends the process and
// an oversized reply that ends the connection without an error code.
func TestCallReturnsItsOwnResult(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		client, _, network := startServer(t, "a")
		for _, c := range []struct {
			method string
			text   string
			code   classifier.Code
		}{
			{"Echo.Say", "hello", classifier.CodeOK},
			{"Echo.Refuse", "x", classifier.CodeNotReady},
			{"Echo.Panic", "x", classifier.CodePeerInvalid},
			{"Echo.Missing", "x", classifier.CodePeerInvalid},
			{"Echo.Flood", "x", classifier.CodePeerTooLarge},
			{"Echo.Say", strings.Repeat("y", MaxMessageBytes), classifier.CodePeerTooLarge},
			{"Echo.Say", "again", classifier.CodeOK},
		} {
			var reply text
			err := client.Call(t.Context(), "peer", c.method, &text{c.text}, &reply, 1000)
			if classifier.CodeOf(err) != c.code || err == nil && reply.Text != c.text {
				t.Errorf("%s: got %q and %v, want code %d", c.method, reply.Text, err, c.code)
			}
		}
		if network.dials.Load() > 2 {
			t.Errorf("%d connections opened, want at most 2: the first, and another after the oversized request",
				network.dials.Load())
		}
	})
}

// headConn replaces the status line of the first response that is read from a connection.
type headConn struct {
	net.Conn
	head string // unread part of what replaces the status line
	read bool   // the status line has been read
}

// Read implements io.Reader.
func (c *headConn) Read(target []byte) (int, error) {
	for next := [1]byte{}; !c.read; c.read = next[0] == '\n' {
		if _, err := c.Conn.Read(next[:]); err != nil {
			return 0, err
		}
	}
	if c.head == "" {
		return c.Conn.Read(target)
	}
	n := copy(target, c.head)
	c.head = c.head[n:]
	return n, nil
}

// Guards against a malformed response to CONNECT that is taken for the consent of a node.
func TestMalformedHandshake(t *testing.T) {
	heads := faker.MalformedHeads()
	heads["another version"] = "HTTP/2.0 200 OK\r\n"
	heads["well-formed"] = "HTTP/1.1 200 OK\r\n"
	replies := make(map[string]string)
	for name, head := range heads {
		bubbler.Test(t, func(t *testing.T) {
			_, _, network := startServer(t, "a")
			client := NewClient(Options{Zone: "a", Dial: func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := network.dial(ctx, address)
				return &headConn{Conn: conn, head: head}, err
			}})
			defer client.Close()
			var reply text
			if err := client.Call(t.Context(), "peer", "Echo.Say", &text{"x"}, &reply, 1000); err == nil {
				replies[name] = reply.Text
			}
		})
	}
	if diff := cmp.Diff(map[string]string{"well-formed": "x"}, replies); diff != "" {
		t.Errorf("the calls with a reply differ (-want +got):\n%s", diff)
	}
}

// Guards against a head without end in the response to CONNECT, which was kept in memory until the call timed out.
func TestHeadOfHandshakeIsBounded(t *testing.T) {
	for name, answer := range map[string]struct{ start, repeated string }{
		"no protocol":  {"", "\x00\xff not an answer "},
		"status line":  {"HTTP/1.1 200 ", "OK"},
		"header line":  {"HTTP/1.1 200 OK\r\nX-Long: ", "x"},
		"header lines": {"HTTP/1.1 200 OK\r\n", "X-More: x\r\n"},
	} {
		bubbler.Test(t, func(t *testing.T) {
			network := faker.NewNetwork()
			listener := network.Listen("endless")
			sent := 0
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				go func() { _, _ = io.Copy(io.Discard, conn) }()
				block := strings.Repeat(answer.repeated, 1000/len(answer.repeated))
				_, err = io.WriteString(conn, answer.start)
				for err == nil {
					<-time.After(time.Millisecond)
					_, err = io.WriteString(conn, block)
					sent += len(block)
				}
			}()
			client := NewClient(Options{Zone: "a", Dial: func(ctx context.Context, address string) (net.Conn, error) {
				return network.Dial(ctx, "tcp", address)
			}})
			defer client.Close()
			err := client.Call(t.Context(), "endless", "Echo.Say", &text{"x"}, &text{}, 1000)
			<-ended
			if err == nil || sent == 0 || sent > 4*maxHandshakeBytes {
				t.Errorf("%s: error %v after %d bytes", name, err, sent)
			}
			_ = listener.Close()
		})
	}
}

// Guards against a panic in a method that ends the process. With recovery turned off, the panic reaches the goroutine.
func TestPanicPropagatesWithoutRecovery(t *testing.T) {
	for _, propagate := range []bool{false, true} {
		server := NewServer(Options{})
		if err := server.Register("Echo", &echo{}); err != nil {
			t.Fatal(err)
		}
		server.dispatcher.propagatePanics = propagate
		request, err := encode(frame{Method: "Echo.Panic", Body: []byte{0x80}})
		if err != nil {
			t.Fatal(err)
		}
		passed := func() (passed bool) {
			defer func() { passed = recover() != nil }()
			_ = server.dispatcher.Invoke(&request, new([]byte))
			return false
		}()
		if passed != propagate {
			t.Errorf("propagate %v: panic passed %v", propagate, passed)
		}
	}
}

// Guards against an unresponsive connection that makes later calls time out. With reuse, all calls get the same
// connection.
func TestSilentConnectionIsUsedOnce(t *testing.T) {
	for _, reuse := range []bool{false, true} {
		bubbler.Test(t, func(t *testing.T) {
			network := &countingNetwork{Network: faker.NewNetwork()}
			listener := network.Listen("peer")
			requests := make(chan int, 10)
			go func() {
				for id := 0; ; id++ {
					conn, err := listener.Accept()
					if err != nil {
						return
					}
					go func() {
						reader := bufio.NewReader(conn)
						_, _ = http.ReadRequest(reader)
						_, _ = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n"))
						for {
							if _, err := readFrame(reader); err != nil {
								return
							}
							requests <- id
						}
					}()
				}
			}()
			client := NewClient(Options{Dial: network.dial})
			client.reuseAfterFailure = reuse
			for range 3 {
				err := client.Call(t.Context(), "peer", "Echo.Say", &text{}, &text{}, 500)
				if classifier.CodeOf(err) != classifier.CodePeerTimeout {
					t.Errorf("got %v, want code %d", err, classifier.CodePeerTimeout)
				}
			}
			synctest.Wait()
			callsPerConnection := make(map[int]int)
			for range len(requests) {
				callsPerConnection[<-requests]++
			}
			if separate := len(callsPerConnection) == 3; separate == reuse {
				t.Errorf("reuse %v: calls per connection %v", reuse, callsPerConnection)
			}
			client.Close()
			_ = listener.Close()
		})
	}
}

// Guards against bytes between data centres that are counted as local, and the reverse.
func TestTrafficIsSplitByZone(t *testing.T) {
	for _, zone := range []string{"a", "b"} {
		bubbler.Test(t, func(t *testing.T) {
			client, server, _ := startServer(t, zone)
			if err := client.Call(t.Context(), "peer", "Echo.Say", &text{"hi"}, &text{}, 500); err != nil {
				t.Fatal(err)
			}
			clientSide, serverSide := client.Traffic().Totals(), server.options.Traffic.Totals()
			local, remote := clientSide.SentLocal+clientSide.ReceivedLocal, clientSide.SentRemote+clientSide.ReceivedRemote
			if (zone == "a") != (local > 0) || (zone == "a") == (remote > 0) {
				t.Errorf("zone %s: local %d, remote %d", zone, local, remote)
			}
			if serverSide.ReceivedLocal+serverSide.ReceivedRemote == 0 || serverSide.SentLocal+serverSide.SentRemote == 0 {
				t.Errorf("zone %s: server counted %+v", zone, serverSide)
			}
		})
	}
}

// Guards against a connection that stays open after its idle timeout, and against one that closes before it.
func TestUnusedConnectionExpires(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		client, _, _ := startServer(t, "a")
		if err := client.Call(t.Context(), "peer", "Echo.Say", &text{}, &text{}, 500); err != nil {
			t.Fatal(err)
		}
		conn := client.pool.take("peer")
		if conn == nil {
			t.Fatal("connection was not kept")
		}
		client.pool.put("peer", conn)
		<-time.After((defaultIdleTimeout - 1).Duration())
		if kept := client.pool.take("peer"); kept != conn {
			t.Fatal("connection closed before the idle timeout")
		}
		client.pool.put("peer", conn)
		<-time.After((defaultIdleTimeout + 1).Duration())
		if client.pool.take("peer") != nil || !conn.codec.broken.Load() {
			t.Error("connection is still open after the idle timeout")
		}
	})
}

// Guards against a node that keeps a connection to every member it ever called and runs out of open files.
func TestUnusedConnectionsAreBounded(t *testing.T) {
	bubbler.Test(t, func(t *testing.T) {
		client, _, network := startServer(t, "a")
		client.pool.maxTotal = 2
		for _, peer := range []string{"one", "two", "three"} {
			httpServer := &http.Server{Handler: network.server}
			listener := network.Listen(peer)
			go func() { _ = httpServer.Serve(listener) }()
			t.Cleanup(func() { _ = httpServer.Close() })
			if err := client.Call(t.Context(), peer, "Echo.Say", &text{}, &text{}, 500); err != nil {
				t.Fatal(err)
			}
		}
		if kept := len(client.pool.idle); kept != 2 || client.pool.size != 2 {
			t.Errorf("%d peers, %d connections are kept", kept, client.pool.size)
		}
	})
}

// Guards against a malformed message that ends the process of the receiver or gets no error code.
func TestMalformedMessageGetsErrorCode(t *testing.T) {
	for name, sent := range map[string][]byte{
		"too long":   {0xff, 0xff, 0xff, 0xff},
		"truncated":  {0, 0, 0, 2, 0x81, 0xa1},
		"not a map":  {0, 0, 0, 1, 0xc0},
		"two values": {0, 0, 0, 2, 0x80, 0x80},
		"no body":    {0, 0, 0, 1, 0x80},
	} {
		bubbler.Test(t, func(t *testing.T) {
			client, _, network := startServer(t, "a")
			conn, err := network.dial(t.Context(), "peer")
			if err != nil {
				t.Fatal(err)
			}
			_, _ = conn.Write([]byte("CONNECT /rpc HTTP/1.1\r\nHost: x\r\n\r\n"))
			reader := bufio.NewReader(conn)
			response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodConnect})
			if err != nil {
				t.Fatal(err)
			}
			_ = response.Body.Close()
			_, _ = conn.Write(sent)
			f, err := readFrame(reader)
			if code := classifier.CodeOf(decodeError(f.Error)); err != nil || code/100 != 3 {
				t.Errorf("%s: response is %+v and %v, want a 3xx code", name, f, err)
			}
			_ = conn.Close()
			if err := client.Call(t.Context(), "peer", "Echo.Say", &text{}, &text{}, 500); err != nil {
				t.Errorf("%s: next call failed: %v", name, err)
			}
		})
	}
}

// Guards against a decoder that panics or accepts a frame that cannot be encoded again.
func FuzzReadFrame(f *testing.F) {
	whole, err := encode(frame{Sequence: 7, Method: "Echo.Say", Body: []byte{0x80}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append(binary.BigEndian.AppendUint32(nil, uint32(len(whole))), whole...))
	f.Add([]byte{0, 0, 0, 5, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Add([]byte{0, 0, 0, 3, 0x91, 0x91, 0x91})
	f.Fuzz(func(t *testing.T, content []byte) {
		read, err := readFrame(strings.NewReader(string(content)))
		if err != nil {
			return
		}
		if err := writeFrame(io.Discard, read); err != nil {
			t.Fatalf("accepted %+v, which cannot be written: %v", read, err)
		}
		var value struct{ Names []string }
		_ = decode(read.Body, &value)
	})
}

// BenchmarkCall measures one call over loopback, both ends included, on a reused connection and on a new one.
func BenchmarkCall(b *testing.B) {
	server := NewServer(Options{})
	if err := server.Register("Echo", &echo{}); err != nil {
		b.Fatal(err)
	}
	httpServer := httptest.NewServer(server)
	defer httpServer.Close()
	defer server.Close()
	for name, kept := range map[string]bool{"kept": true, "new": false} {
		b.Run(name, func(b *testing.B) {
			client := NewClient(Options{})
			defer client.Close()
			client.pool.closed = !kept
			b.ReportAllocs()
			for b.Loop() {
				err := client.Call(b.Context(), httpServer.Listener.Addr().String(), "Echo.Say", &text{"hello"}, &text{}, 1000)
				if err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
