package store_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
)

// newTestClient returns a platform and a client for it, which as the only gateway has
// the rate limit of the whole fleet.
func newTestClient(t *testing.T, timeout time.Duration) (*platform.Platform, *store.Client) {
	p := platform.New(platform.Config{})
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	c := store.New(store.Config{URL: server.URL, Timeout: timeout, Fleet: 1})
	t.Cleanup(c.Close)
	return p, c
}

func TestClientAgainstPlatform(t *testing.T) {
	convey.Convey("Given an object with two versions", t, func() {
		ctx := context.Background()
		p, c := newTestClient(t, 5*time.Second)
		_, err := c.Put(ctx, "Rules/A b%", []byte("one"), 0)
		convey.So(err, convey.ShouldBeNil)
		version, err := c.Put(ctx, "Rules/A b%", []byte("two"), 1)
		convey.So(err, convey.ShouldBeNil)
		convey.So(version, convey.ShouldEqual, 2)
		convey.Convey("The current, an old and a missing version can be read", func() {
			o, err := c.Get(ctx, "Rules/A b%")
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(o.Value), convey.ShouldEqual, "two")
			o, err = c.GetVersion(ctx, "Rules/A b%", 1)
			convey.So(err, convey.ShouldBeNil)
			convey.So(string(o.Value), convey.ShouldEqual, "one")
			o, err = c.GetVersion(ctx, "Rules/A b%", 7)
			convey.So(err, convey.ShouldBeNil)
			convey.So(o.Version, convey.ShouldEqual, 0)
			objects, err := c.List(ctx, "Rules/")
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(objects), convey.ShouldEqual, 1)
		})
		convey.Convey("A write conditional on an old version is a conflict and changes nothing", func() {
			_, err := c.Put(ctx, "Rules/A b%", []byte("three"), 1)
			convey.So(code.Of(err), convey.ShouldEqual, code.StoreConflict)
			convey.So(len(p.History("Rules/A b%")), convey.ShouldEqual, 2)
			convey.So(c.Stats().State, convey.ShouldEqual, store.Closed)
		})
		convey.Convey("A write whose response is lost returns an error and takes effect once", func() {
			p.SetFault(platform.Fault{LoseAnswers: true})
			_, err := c.Put(ctx, "Rules/A b%", []byte("three"), 2)
			convey.So(code.Of(err), convey.ShouldEqual, code.StoreUnavailable)
			convey.So(len(p.History("Rules/A b%")), convey.ShouldEqual, 3)
		})
		convey.Convey("A watch returns the newer version", func() {
			done := make(chan int64)
			go func() {
				o, _ := c.Watch(ctx, "Rules/A b%", 2)
				done <- o.Version
			}()
			p.Put("Rules/A b%", []byte("three"), -1)
			convey.So(<-done, convey.ShouldEqual, 3)
		})
	})
}

func TestClientErrors(t *testing.T) {
	large := bytes.Repeat([]byte("x"), store.MaxValueBytes+1)
	for _, test := range []struct {
		name    string
		handler http.HandlerFunc
		want    code.Code
	}{
		{"server error", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(503) }, code.StoreUnavailable},
		{"rate limited", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(429) }, code.StoreRefused},
		{"too large", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(large) }, code.StoreTooLarge},
		{"no version", func(http.ResponseWriter, *http.Request) {}, code.StoreBadObject},
		{"bad version", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("ETag", `"x"`) }, code.StoreBadObject},
		{"no response", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, code.StoreUnavailable},
	} {
		convey.Convey("Given a platform with the response: "+test.name, t, func() {
			server := httptest.NewServer(test.handler)
			defer server.Close()
			c := store.New(store.Config{URL: server.URL, Timeout: 200 * time.Millisecond, Fleet: 1})
			defer c.Close()
			_, err := c.Get(context.Background(), "k")
			convey.So(code.Of(err), convey.ShouldEqual, test.want)
		})
	}
}

// connectionID is the context key of a connection's number.
type connectionID struct{}

// TestClientDropsUnresponsiveConnections guards against one timeout for each pooled
// connection after a network failure, if every call reuses another connection that no
// longer responds.
func TestClientDropsUnresponsiveConnections(t *testing.T) {
	convey.Convey("Given pooled connections that no longer respond, while new ones do", t, func() {
		const parallel = 5
		var accepted, unresponsive atomic.Int64
		var entered sync.WaitGroup
		entered.Add(parallel)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			id, _ := r.Context().Value(connectionID{}).(int64)
			if id <= unresponsive.Load() {
				<-r.Context().Done()
				return
			}
			if unresponsive.Load() == 0 {
				entered.Done()
				entered.Wait()
			}
			w.Header().Set("ETag", `"1"`)
		}))
		server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
			return context.WithValue(ctx, connectionID{}, accepted.Add(1))
		}
		server.Start()
		defer server.Close()
		c := store.New(store.Config{URL: server.URL, Timeout: 500 * time.Millisecond, Fleet: 1})
		defer c.Close()
		errs := make(chan error)
		for range parallel {
			go func() {
				_, err := c.Get(context.Background(), "k")
				errs <- err
			}()
		}
		for range parallel {
			convey.So(<-errs, convey.ShouldBeNil)
		}
		unresponsive.Store(accepted.Load())
		convey.Convey("One call fails, and the next uses a new connection", func() {
			_, err := c.Get(context.Background(), "k")
			convey.So(code.Of(err), convey.ShouldEqual, code.StoreUnavailable)
			_, err = c.Get(context.Background(), "k")
			convey.So(err, convey.ShouldBeNil)
		})
	})
}

func TestClientStopsCallingAPlatformThatIsDown(t *testing.T) {
	convey.Convey("Given a platform that is unavailable", t, func() {
		p, c := newTestClient(t, 5*time.Second)
		p.SetFault(platform.Fault{Down: true})
		for range 1000 {
			_, err := c.Get(context.Background(), "k")
			convey.So(code.Of(err), convey.ShouldBeIn, code.StoreUnavailable, code.StoreBackoff, code.StoreBudget)
		}
		convey.Convey("Few of many calls are sent, and watches are not", func() {
			convey.So(p.Calls(), convey.ShouldBeLessThan, 20)
			_, err := c.Watch(context.Background(), "k", 0)
			convey.So(code.Of(err), convey.ShouldEqual, code.StoreBackoff)
		})
	})
}

func TestClientKeepsToTheBudgetWithAFastCaller(t *testing.T) {
	convey.Convey("Given a client in a fleet of 1,000 gateways", t, func() {
		p, c := newTestClient(t, 5*time.Second)
		c.SetFleet(1000)
		started := time.Now()
		for range 1000 {
			_, _ = c.Get(context.Background(), "k")
		}
		elapsed := time.Since(started).Seconds()
		// The burst is at most 20 calls. Of 400 reads per second, 0.4 are the share of one
		// gateway.
		convey.So(float64(p.Calls()), convey.ShouldBeLessThanOrEqualTo, 20+0.4*elapsed+1)
		convey.So(c.Stats().OverBudget, convey.ShouldEqual, 1000-p.Calls())
	})
}
