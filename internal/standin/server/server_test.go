package server_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

func get(h http.Handler, url string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, url, nil))
	return w
}

func TestServer(t *testing.T) {
	convey.Convey("Given a server with one slot and no queue", t, func() {
		s := server.New(server.Config{Name: "booking-01", Slots: 1, Work: time.Hour})
		h := s.Handler()
		convey.Convey("the Work parameter overrides the service time", func() {
			w := get(h, "/Booking?Work=1ms")
			convey.So(w.Code, convey.ShouldEqual, http.StatusOK)
			convey.So(s.Count().Total, convey.ShouldEqual, 1)
		})
		convey.Convey("a second request is shed without running, and the load report counts only the first", func() {
			srv := httptest.NewServer(h)
			defer srv.Close()
			done := make(chan error, 1)
			go func() {
				resp, err := http.Get(srv.URL + "/?Work=300ms")
				if err == nil {
					err = resp.Body.Close()
				}
				done <- err
			}()
			for s.Count().Total == 0 {
				time.Sleep(time.Millisecond)
			}
			w := get(h, "/Booking")
			convey.So(w.Code, convey.ShouldEqual, http.StatusServiceUnavailable)
			convey.So(w.Header().Get(server.NotRunHeader), convey.ShouldEqual, "1")
			rep, err := report.Parse(time.Now(), get(h, "/load").Header().Get(report.Header))
			convey.So(err, convey.ShouldBeNil)
			convey.So(rep.InFlight, convey.ShouldEqual, 1)
			convey.So(<-done, convey.ShouldBeNil)
			convey.So(s.Count().Total, convey.ShouldEqual, 1)
		})
		convey.Convey("load reports are cached for ReportEvery", func() {
			s.SetMode(server.Mode{ReportEvery: time.Hour})
			first := get(h, "/load").Header().Get(report.Header)
			convey.So(get(h, "/load").Header().Get(report.Header), convey.ShouldEqual, first)
		})
	})
}

// A silenced connection must get no response although it stays open, and a new connection
// must work.
func TestSilentListener(t *testing.T) {
	convey.Convey("Given a listener whose open connections are silenced", t, func() {
		tcp, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		l := server.NewSilentListener(tcp)
		srv := &http.Server{Handler: server.WithLatency(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), time.Millisecond)}
		serveErr := make(chan error, 1)
		go func() { serveErr <- srv.Serve(l) }()
		roundTrip := func(c net.Conn) error {
			_ = c.SetDeadline(time.Now().Add(200 * time.Millisecond))
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			_, err := http.ReadResponse(bufio.NewReader(c), nil)
			return err
		}
		silenced, err := net.Dial("tcp", tcp.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		convey.So(roundTrip(silenced), convey.ShouldBeNil)
		convey.So(l.Silence(), convey.ShouldEqual, 1)
		convey.So(roundTrip(silenced), convey.ShouldNotBeNil)
		fresh, err := net.Dial("tcp", tcp.Addr().String())
		convey.So(err, convey.ShouldBeNil)
		convey.So(roundTrip(fresh), convey.ShouldBeNil)
		_, _ = silenced.Close(), fresh.Close()
		convey.So(srv.Close(), convey.ShouldBeNil)
		convey.So(<-serveErr, convey.ShouldEqual, http.ErrServerClosed)
	})
}
