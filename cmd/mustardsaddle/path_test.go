package main_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func TestCallsThroughAllGateways(t *testing.T) {
	convey.Convey("Given a platform, three servers and three gateways, calls through each gateway succeed and each attempt runs once", t, func() {
		s := newSystem(t, 3, 3)
		before := int64(0)
		for _, e := range s.servers {
			before += s.counts(e).Total
		}
		calls := int64(0)
		for _, g := range s.gateways {
			for range 10 {
				calls += 2
				resp := get(g.url + "/rosters")
				convey.So(resp.ok(), convey.ShouldBeTrue)
				convey.So(string(resp.body), convey.ShouldStartWith, "GET /rosters from booking-")
				convey.So(resp.header.Get("Mustardsaddle-Outcome"), convey.ShouldEqual, "Ran")
				body := strings.Repeat("lathe ", 1000)
				resp = sendRequest(context.Background(), http.DefaultClient, http.MethodPost, g.url+"/bookings", strings.NewReader(body))
				convey.So(resp.ok(), convey.ShouldBeTrue)
				convey.So(string(resp.body), convey.ShouldEqual, body)
			}
			resp := get(g.url + "/elsewhere")
			convey.So(resp.status, convey.ShouldEqual, http.StatusNotFound)
			convey.So(resp.header.Get("Mustardsaddle-Outcome"), convey.ShouldEqual, "NotRun")
		}
		total := int64(0)
		for _, e := range s.servers {
			c := s.counts(e)
			total += c.Total
			for attempt, n := range c.Runs {
				convey.So(attempt, convey.ShouldNotBeEmpty)
				convey.So(n, convey.ShouldEqual, 1)
			}
		}
		convey.So(total-before, convey.ShouldBeGreaterThanOrEqualTo, calls)
	})
}
