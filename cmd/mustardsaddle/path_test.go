package main_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestWholePath(t *testing.T) {
	convey.Convey("Given a platform, three servers and three gateways as processes", t, func() {
		s := newSystem(t, 3, 3)
		before := int64(0)
		for _, e := range s.servers {
			before += s.count(e).Total
		}
		calls := int64(0)
		for _, g := range s.gateways {
			for range 10 {
				calls += 2
				a := get(g.url + "/rosters")
				convey.So(a.ok(), convey.ShouldBeTrue)
				convey.So(string(a.body), convey.ShouldStartWith, "GET /rosters from booking-")
				convey.So(a.header.Get("Mustardsaddle-Outcome"), convey.ShouldEqual, "Ran")
				body := strings.Repeat("lathe ", 1000)
				a = call(context.Background(), http.DefaultClient, http.MethodPost, g.url+"/bookings", strings.NewReader(body))
				convey.So(a.ok(), convey.ShouldBeTrue)
				convey.So(string(a.body), convey.ShouldEqual, body)
			}
			a := get(g.url + "/elsewhere")
			convey.So(a.status, convey.ShouldEqual, http.StatusNotFound)
			convey.So(a.header.Get("Mustardsaddle-Outcome"), convey.ShouldEqual, "NotRun")
		}
		total := int64(0)
		for _, e := range s.servers {
			c := s.count(e)
			total += c.Total
			for attempt, n := range c.Runs {
				convey.So(attempt, convey.ShouldNotBeEmpty)
				convey.So(n, convey.ShouldEqual, 1)
			}
		}
		convey.So(total-before, convey.ShouldBeGreaterThanOrEqualTo, calls)
	})
}
