package verifier

import (
	"io"
	"net"
	"testing"
	"time"
)

// Guards against a read that waits for a write which the other end never reads, after the other end has sent its whole
// answer and closed the connection for sending.
func TestEndOfAnswerBehindBlockedWrite(t *testing.T) {
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	accepted := make(chan net.Conn, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		accepted <- conn
		_, _ = io.WriteString(conn, "answer")
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.CloseWrite()
		}
	}()
	conn, err := Dial(nil)(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	defer func() { _ = (<-accepted).Close() }()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	written := make(chan error, 1)
	go func() {
		_, err := conn.Write(make([]byte, 64<<20))
		written <- err
	}()
	content, err := io.ReadAll(conn)
	if err != nil || string(content) != "answer" {
		t.Errorf("read %q, error %v", content, err)
	}
	select {
	case err = <-written:
		if err == nil {
			t.Error("the write succeeded")
		}
	case <-time.After(10 * time.Second):
		t.Error("the write does not end")
	}
}
