package connection_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/request/connection"
)

// pair returns the two ends of a connection.
func pair(t *testing.T) (near, far net.Conn) {
	t.Helper()
	near, far = net.Pipe()
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

func TestSealedConnection(t *testing.T) {
	convey.Convey("Given a counted connection by which one write has gone", t, func() {
		near, far := pair(t)
		c := connection.NewCounted(near)
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
		convey.So(c.Written(), convey.ShouldEqual, 1)
		convey.Convey("Nothing leaves once it is sealed, and the count stays", func() {
			convey.So(c.Seal(), convey.ShouldEqual, 1)
			_, err := c.Write([]byte("z"))
			convey.So(err, convey.ShouldNotBeNil)
			convey.So(c.Written(), convey.ShouldEqual, 1)
			convey.Convey("It still reads", func() {
				_, err := c.Read(make([]byte, 1))
				convey.So(err, convey.ShouldBeNil)
				convey.So(c.Reads(), convey.ShouldEqual, 1)
			})
		})
	})
}

func TestIdleConnectionClosesByTheLimitInForce(t *testing.T) {
	convey.Convey("Given a connection that went idle under a long limit", t, func() {
		near, far := pair(t)
		idle := connection.NewIdle(func() time.Duration { return connection.MaxLimit })
		idle.Changed(near, http.StateIdle)
		convey.Convey("It stays while it has a request", func() {
			idle.Changed(near, http.StateActive)
			idle.Changed(near, http.StateClosed)
			go func() { _, _ = near.Write([]byte("x")) }()
			_, err := far.Read(make([]byte, 1))
			convey.So(err, convey.ShouldBeNil)
		})
	})
	convey.Convey("Given a connection that is idle under a limit below 0", t, func() {
		near, far := pair(t)
		idle := connection.NewIdle(func() time.Duration { return -time.Hour })
		idle.Changed(near, http.StateIdle)
		convey.Convey("It closes", func() {
			_, err := far.Read(make([]byte, 1))
			convey.So(err, convey.ShouldNotBeNil)
		})
	})
}
