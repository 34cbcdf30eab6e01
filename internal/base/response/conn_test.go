package response_test

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/base/response"
)

// tcpPair returns the two ends of a TCP connection, the near one as a Conn.
func tcpPair(t *testing.T, cfg response.Config) (near *response.Conn, far *net.TCPConn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = c.Close(), accepted.Close() })
	return response.NewConn(c, cfg), accepted.(*net.TCPConn)
}

// peerEnd is a way in which the peer of a connection ends it while it is written to.
type peerEnd struct {
	name string
	end  func(far *net.TCPConn)
	// written is true if reading begins after the writes have ended.
	written bool
	// inOrder is true if the peer has closed its sending side.
	inOrder bool
}

func reset(far *net.TCPConn) {
	_ = far.SetLinger(0)
	_ = far.Close()
}

func closeSending(far *net.TCPConn) { _ = far.CloseWrite() }

func peerEnds() []peerEnd {
	both := func(far *net.TCPConn) {
		closeSending(far)
		time.Sleep(time.Millisecond)
		reset(far)
	}
	return []peerEnd{
		{"reset", reset, false, false},
		{"reset, read after a failed write", reset, true, false},
		{"sending side closed", closeSending, false, true},
		{"sending side closed, then reset", both, false, true},
		{"sending side closed, then reset, read after a failed write", both, true, true},
		{"close with unread data", func(far *net.TCPConn) { _ = far.Close() }, false, false},
	}
}

// TestResetIsNoEnd guards against a reset that a write has reported being read as the end of a
// stream in order, and against an end in order being taken for a reset. The peer does not read, so
// that a write is in progress at the end.
func TestResetIsNoEnd(t *testing.T) {
	const plays = 100
	for _, e := range peerEnds() {
		t.Run(e.name, func(t *testing.T) {
			wrong := 0
			for range plays {
				if got := e.play(t); errors.Is(got, io.EOF) != e.inOrder {
					wrong++
					t.Logf("got %v, want io.EOF: %v", got, e.inOrder)
				}
			}
			if wrong > 0 {
				t.Errorf("got %d wrong ends of %d, want none", wrong, plays)
			}
		})
	}
}

// play returns the error at the end of a stream of which a part was received.
func (e peerEnd) play(t *testing.T) error {
	near, far := tcpPair(t, response.Config{})
	defer func() { _, _ = near.Close(), far.Close() }()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for buf := make([]byte, 64<<10); ; {
			if _, err := near.Write(buf); err != nil {
				return
			}
		}
	}()
	if _, err := far.Read(make([]byte, 1)); err != nil {
		t.Fatal(err)
	}
	_, _ = io.WriteString(far, "HTTP/1.1 200 OK\r\n\r\npart")
	if !e.written {
		if _, err := io.ReadFull(near, make([]byte, len("HTTP/1.1 200 OK\r\n\r\npart"))); err != nil {
			t.Fatal(err)
		}
	}
	e.end(far)
	if e.written {
		<-ended
	}
	_ = near.SetReadDeadline(time.Now().Add(10 * time.Second))
	for buf := make([]byte, 1024); ; {
		if _, err := near.Read(buf); err != nil {
			_ = near.Close()
			<-ended
			return err
		}
	}
}

// TestAnsweredWhileNextRequestBegins guards against the response to a request counting as none
// because the next one on the connection has begun before it was looked at.
func TestAnsweredWhileNextRequestBegins(t *testing.T) {
	near, far := tcpPair(t, response.Config{})
	near.BeginRequest()
	first := near.Requests()
	const head = "HTTP/1.1 204 No Content\r\n\r\n"
	_, _ = io.WriteString(far, head)
	if _, err := io.ReadFull(near, make([]byte, len(head))); err != nil {
		t.Fatal(err)
	}
	near.BeginRequest()
	if next := near.Requests(); !near.Answered(first) || near.Answered(next) {
		t.Errorf("got answered %v and %v, want the first request alone", near.Answered(first), near.Answered(next))
	}
}
