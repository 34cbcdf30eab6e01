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
	// patience bounds waits for what must happen at some time.
	patience = 30 * time.Second
	// quiet is how long something that must not happen is waited for.
	quiet = 100 * time.Millisecond
)

// echo starts a target that sends back what it gets.
func echo(t testing.TB) string {
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
	r, err := relay.New(context.Background(), echo(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// open opens a connection that echoes.
func open(t testing.TB, r *relay.Relay) net.Conn {
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if !passes(c) {
		t.Fatal("a new connection does not echo")
	}
	return c
}

// admits tells whether a new connection echoes. A reset can come while it is
// dialled or afterwards.
func admits(r *relay.Relay) bool {
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	return passes(c)
}

// receive reads n bytes within the given time.
func receive(c net.Conn, n int, d time.Duration) (string, error) {
	_ = c.SetReadDeadline(time.Now().Add(d))
	b := make([]byte, n)
	_, err := io.ReadFull(c, b)
	return string(b), err
}

// passes tells whether a connection echoes.
func passes(c net.Conn) bool {
	if _, err := c.Write([]byte("load")); err != nil {
		return false
	}
	s, err := receive(c, 4, patience)
	return err == nil && s == "load"
}

func TestRelay(t *testing.T) {
	convey.Convey("Given a relay with an open connection", t, func() {
		r := newRelay(t)
		c := open(t, r)

		convey.Convey("an orderly end reaches the other side after the last byte", func() {
			_, err := c.Write([]byte("last"))
			convey.So(err, convey.ShouldBeNil)
			convey.So(c.(*net.TCPConn).CloseWrite(), convey.ShouldBeNil)
			b, err := io.ReadAll(c)
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(b), convey.ShouldEqual, "last")
		})
		for name, f := range map[string]relay.Fault{"up": {HoldUp: true}, "down": {HoldDown: true}} {
			convey.Convey("bytes that are held "+name+" pass when the fault ends, and none is lost", func() {
				r.Set(f)
				_, err := c.Write([]byte("held"))
				convey.So(err, convey.ShouldBeNil)
				_, err = receive(c, 4, quiet)
				convey.So(err, convey.ShouldNotBeNil)
				r.Set(relay.Fault{})
				s, err := receive(c, 4, patience)
				convey.So(err, convey.ShouldBeNil)
				convey.So(s, convey.ShouldEqual, "held")
			})
		}
		convey.Convey("a delay holds both directions", func() {
			const delay = 30 * time.Millisecond
			r.Set(relay.Fault{Delay: delay})
			begin := time.Now()
			convey.So(passes(c), convey.ShouldBeTrue)
			convey.So(time.Since(begin), convey.ShouldBeGreaterThanOrEqualTo, 2*delay)
		})
		convey.Convey("a silent connection stays silent, and a new one works", func() {
			convey.So(r.Silence(), convey.ShouldEqual, 1)
			_, err := c.Write([]byte("lost"))
			convey.So(err, convey.ShouldBeNil)
			_, err = receive(c, 4, quiet)
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(admits(r), convey.ShouldBeTrue)
		})
		convey.Convey("a reset ends it, and a new one works", func() {
			convey.So(r.Reset(), convey.ShouldEqual, 1)
			convey.So(passes(c), convey.ShouldBeFalse)
			convey.So(admits(r), convey.ShouldBeTrue)
		})
		convey.Convey("new connections can be refused while it goes on", func() {
			r.Set(relay.Fault{Refuse: true})
			convey.So(admits(r), convey.ShouldBeFalse)
			convey.So(passes(c), convey.ShouldBeTrue)
		})
	})
	convey.Convey("A caller whose target is gone is reset", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		convey.So(l.Close(), convey.ShouldBeNil)
		r, err := relay.New(context.Background(), l.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		defer r.Close()
		convey.So(admits(r), convey.ShouldBeFalse)
	})
}
