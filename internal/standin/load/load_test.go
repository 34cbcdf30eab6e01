package load_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/standin/load"
)

func config(target string) load.Config {
	return load.Config{
		Targets:  []string{target},
		Streams:  []load.Stream{{Service: "Booking", Path: "/Booking", Share: 3}, {Service: "Library", Path: "/Library", Share: 1}},
		Rate:     400,
		Duration: 500 * time.Millisecond,
		Work:     10 * time.Millisecond,
		Seed:     7,
	}
}

// requestLog is a handler that records request URLs. It refuses requests to
// /Library as not run.
type requestLog struct {
	mu   sync.Mutex
	urls []string
}

func (h *requestLog) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	h.urls = append(h.urls, r.URL.String())
	h.mu.Unlock()
	if r.URL.Path == "/Library" {
		w.Header().Set("Mustardsaddle-Outcome", "NotRun")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func TestRun(t *testing.T) {
	convey.Convey("Given a system that refuses calls to one of two services", t, func() {
		var urls [2][]string
		for i := range urls {
			h := &requestLog{}
			s := httptest.NewServer(h)
			result, err := load.Run(context.Background(), config(s.URL))
			s.Close()
			convey.So(err, convey.ShouldBeNil)
			convey.So(result.All.Calls, convey.ShouldEqual, len(h.urls))
			convey.So(result.Streams[0].Share(load.Ran), convey.ShouldEqual, 1)
			convey.So(result.Streams[1].Share(load.NotRun), convey.ShouldEqual, 1)
			convey.So(result.Text(), convey.ShouldContainSubstring, "Library")
			slices.Sort(h.urls)
			urls[i] = h.urls
		}
		convey.Convey("runs with equal seeds send the same requests", func() {
			convey.So(urls[0], convey.ShouldResemble, urls[1])
		})
	})
	convey.Convey("Given a system that stalls, latencies count from the scheduled time", t, func() {
		release := make(chan struct{})
		s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
		defer s.Close()
		time.AfterFunc(700*time.Millisecond, func() { close(release) })
		result, err := load.Run(context.Background(), config(s.URL))
		convey.So(err, convey.ShouldBeNil)
		convey.So(result.All.Share(load.Ran), convey.ShouldEqual, 1)
		convey.So(result.All.Max, convey.ShouldBeGreaterThan, 600)
	})
}

// A target that accepts no calls, such as a gateway that is stopping, must get none: its calls
// go to another target and are not counted as failures.
func TestRunSkipsTargetsNotLive(t *testing.T) {
	convey.Convey("Given two targets, one of which is not live", t, func() {
		var live, dead requestLog
		a, b := httptest.NewServer(&live), httptest.NewServer(&dead)
		defer a.Close()
		defer b.Close()
		cfg := config(a.URL)
		cfg.Targets = append(cfg.Targets, b.URL)
		cfg.Live = func(target string) bool { return target == a.URL }
		result, err := load.Run(context.Background(), cfg)
		convey.So(err, convey.ShouldBeNil)
		convey.So(result.All.Calls, convey.ShouldEqual, len(live.urls))
		convey.So(dead.urls, convey.ShouldBeEmpty)
	})
}

func TestRunRefusesBadConfig(t *testing.T) {
	for _, c := range []struct {
		change func(*load.Config)
		err    string
	}{
		{func(c *load.Config) { c.Targets = nil }, "load: got no targets, want at least one"},
		{func(c *load.Config) { c.Streams = nil }, "load: got no streams, want at least one"},
		{func(c *load.Config) { c.Rate = 0 }, "load: got rate 0, want more than 0"},
		{func(c *load.Config) { c.Warmup = time.Hour }, "load: got duration 500ms, want more than the warmup 1h0m0s"},
	} {
		cfg := config("http://127.0.0.1:1")
		c.change(&cfg)
		_, err := load.Run(context.Background(), cfg)
		if code.Of(err) != code.SettingsBadValue || !strings.HasPrefix(err.Error(), c.err) {
			t.Errorf("run: got %v, want %s", err, c.err)
		}
	}
}
