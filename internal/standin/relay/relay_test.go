package relay_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/standin/relay"
)

const (
	// waitTimeout bounds waits for expected events.
	waitTimeout = 30 * time.Second
	// absenceWait is how long a test waits before it concludes that no data
	// arrives.
	absenceWait = 100 * time.Millisecond
)

// startEchoServer starts a target that echoes data, and returns its address.
func startEchoServer(t testing.TB) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func newRelay(t testing.TB) *relay.Relay {
	r, err := relay.New(context.Background(), startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// openConn opens a connection through the relay and checks that it echoes.
func openConn(t testing.TB, r *relay.Relay) net.Conn {
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if !echoes(c) {
		t.Fatal("new connection does not echo data")
	}
	return c
}

// acceptsNew reports whether a new connection through the relay echoes. A
// refused connection can be reset during the dial or afterwards.
func acceptsNew(r *relay.Relay) bool {
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	return echoes(c)
}

// readWithin reads n bytes within the given time.
func readWithin(c net.Conn, n int, d time.Duration) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(d))
	b := make([]byte, n)
	_, err := io.ReadFull(c, b)
	return string(b), err
}

// echoes reports whether a connection echoes data.
func echoes(c net.Conn) bool {
	if _, err := c.Write([]byte("load")); err != nil {
		return false
	}
	s, err := readWithin(c, 4, waitTimeout)
	return err == nil && s == "load"
}

func TestRelay(t *testing.T) {
	convey.Convey("Given a relay with an open connection", t, func() {
		r := newRelay(t)
		c := openConn(t, r)

		convey.Convey("a half-close reaches the other side after the last byte", func() {
			_, err := c.Write([]byte("last"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(c.(*net.TCPConn).CloseWrite(), convey.ShouldBeNil)
			b, err := io.ReadAll(c)
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(b), convey.ShouldEqual, "last")
		})
		for name, f := range map[string]relay.Fault{"up": {HoldUp: true}, "down": {HoldDown: true}} {
			convey.Convey("data held "+name+"stream is delivered without loss when the fault is cleared", func() {
				r.SetFault(f)
				_, err := c.Write([]byte("held"))
				convey.So(err, convey.ShouldBeNil)
				_, err = readWithin(c, 4, absenceWait)
				convey.So(err, convey.ShouldNotBeNil)
				r.SetFault(relay.Fault{})
				s, err := readWithin(c, 4, waitTimeout)
				convey.So(err, convey.ShouldBeNil)
				convey.So(s, convey.ShouldEqual, "held")
			})
		}
		convey.Convey("the delay applies to both directions", func() {
			const delay = 30 * time.Millisecond
			r.SetFault(relay.Fault{Delay: delay})
			start := time.Now()
			convey.So(echoes(c), convey.ShouldBeTrue)
			convey.So(time.Since(start), convey.ShouldBeGreaterThanOrEqualTo, 2*delay)
		})
		convey.Convey("a silenced connection gets no response, and a new one works", func() {
			convey.So(r.Silence(), convey.ShouldEqual, 1)
			_, err := c.Write([]byte("lost"))
			convey.So(err, convey.ShouldBeNil)
			_, err = readWithin(c, 4, absenceWait)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(acceptsNew(r), convey.ShouldBeTrue)
		})
		convey.Convey("a reset ends the connection, and a new one works", func() {
			convey.So(r.Reset(), convey.ShouldEqual, 1)
			convey.So(echoes(c), convey.ShouldBeFalse)
			convey.So(acceptsNew(r), convey.ShouldBeTrue)
		})
		convey.Convey("new connections can be refused while the open one works", func() {
			r.SetFault(relay.Fault{Refuse: true})
			convey.So(acceptsNew(r), convey.ShouldBeFalse)
			convey.So(echoes(c), convey.ShouldBeTrue)
		})
	})
	convey.Convey("A connection is reset if the target cannot be reached", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		convey.So(l.Close(), convey.ShouldBeNil)
		r, err := relay.New(context.Background(), l.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		defer r.Close()
		convey.So(acceptsNew(r), convey.ShouldBeFalse)
	})
}
