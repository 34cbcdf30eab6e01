package connection_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/request/connection"
)

// pair returns the two ends of an in-memory connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	near, far = net.Pipe()
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

func TestBlockedWrites(t *testing.T) {
	convey.Convey("Given a counted connection with one write", t, func() {
		near, far := pair(t)
		c := connection.NewCountedConn(near, connection.CountedConfig{})
		read := make(chan byte, 2)
		go func() {
			b := make([]byte, 1)
			if _, err := far.Read(b); err == nil {
				read <- b[0]
			}
			_, _ = far.Write([]byte("y"))
		}()
		_, err := c.Write([]byte("x"))
		convey.So(err, convey.ShouldBeNil)
		convey.So(<-read, convey.ShouldEqual, 'x')
		convey.So(c.Writes(), convey.ShouldEqual, 1)
		convey.Convey("After BlockWrites, a write fails and is not counted", func() {
			convey.So(c.BlockWrites(), convey.ShouldEqual, 1)
			_, err := c.Write([]byte("z"))
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(c.Writes(), convey.ShouldEqual, 1)
			convey.Convey("Reads still work", func() {
				_, err := c.Read(make([]byte, 1))
				convey.So(err, convey.ShouldBeNil)
				convey.So(c.Reads(), convey.ShouldEqual, 1)
			})
		})
	})
}

func TestIdleConnectionUsesCurrentTimeout(t *testing.T) {
	convey.Convey("Given an idle connection and a long timeout", t, func() {
		near, far := pair(t)
		idle := connection.NewIdleCloser(func() time.Duration { return connection.MaxIdleTimeout })
		idle.StateChanged(near, http.StateIdle)
		convey.Convey("It stays open while it serves a request", func() {
			idle.StateChanged(near, http.StateActive)
			idle.StateChanged(near, http.StateClosed)
			go func() { _, _ = near.Write([]byte("x")) }()
			_, err := far.Read(make([]byte, 1))
			convey.So(err, convey.ShouldBeNil)
		})
	})
	convey.Convey("Given an idle connection and a negative timeout", t, func() {
		near, far := pair(t)
		idle := connection.NewIdleCloser(func() time.Duration { return -time.Hour })
		idle.StateChanged(near, http.StateIdle)
		convey.Convey("It is closed", func() {
			_, err := far.Read(make([]byte, 1))
			convey.So(err, convey.ShouldNotBeNil)
		})
	})
}
