package main_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
	"mustardsaddle.example/mustardsaddle/internal/standin/relay"
	"mustardsaddle.example/mustardsaddle/internal/standin/server"
)

// quiet is how long a leaving server is watched for new requests.
const quiet = 3 * time.Second

// staysQuiet waits until the promised time has passed since the first sign, and
// returns how many requests the server receives after that.
func (s *system) staysQuiet(e *endpoint, sign time.Time) int64 {
	s.wait("the promised time", func() bool { return time.Since(sign) >= promise })
	before := s.requests(e)
	begin := time.Now()
	s.wait("quiet", func() bool { return time.Since(begin) >= quiet })
	return s.requests(e) - before
}

func TestLeaving(t *testing.T) {
	for _, c := range []struct {
		name string
		// leave gives the first sign that a server leaves.
		leave func(*system, *endpoint)
		// revive, if set, gives an older sign that it does not.
		revive func(*system, *endpoint)
	}{
		{
			name:  "the list alone says so, and an older live follows",
			leave: listLeaving,
			revive: func(s *system, e *endpoint) {
				time.Sleep(listLag + time.Second)
				s.list(e.machine)
			},
		},
		{
			name:  "its reports alone say so",
			leave: func(s *system, e *endpoint) { s.mode(e, server.Mode{Draining: true}) },
		},
		{
			name: "its reports say so while the store is down and the list is stale",
			leave: func(s *system, e *endpoint) {
				s.fault(platform.Fault{Down: true})
				s.mode(e, server.Mode{Draining: true})
			},
		},
		{
			name: "one gateway's list says so and the others hear it from that peer",
			leave: func(s *system, e *endpoint) {
				for _, g := range s.gateways[1:] {
					g.store.Set(relay.Fault{Refuse: true})
					g.store.Reset()
				}
				listLeaving(s, e)
			},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			convey.Convey("Given a server under load that leaves: "+c.name, t, func() {
				s := newSystem(t, 4, 3)
				f := newTraffic(12, targets(s.gateways...))
				defer f.stop()
				e := s.servers[0]
				busy := s.requests(e)
				s.wait("requests to the server", func() bool { return s.requests(e) > busy+20 })
				sign := time.Now()
				c.leave(s, e)
				if c.revive != nil {
					c.revive(s, e)
				}
				convey.So(s.staysQuiet(e, sign), convey.ShouldEqual, 0)
				f.stop()
				convey.So(f.failures(), convey.ShouldBeEmpty)
			})
		})
	}
}

func TestMisleadingDraining(t *testing.T) {
	convey.Convey("Given a server under load that reports draining for a moment by mistake", t, func() {
		s := newSystem(t, 4, 3)
		f := newTraffic(12, targets(s.gateways...))
		defer f.stop()
		e := s.servers[0]
		s.mode(e, server.Mode{Draining: true})
		for _, g := range s.gateways {
			s.wait("the sign", func() bool { return g.leaving(e.machine.Name) })
		}
		s.mode(e, server.Mode{})
		convey.Convey("It takes requests again", func() {
			after := s.count(e).Total
			took := s.wait("requests", func() bool { return s.count(e).Total > after+100 })
			t.Logf("100 requests ran there %v later", took)
			f.stop()
			convey.So(f.failures(), convey.ShouldBeEmpty)
		})
	})
}

// A list that lags names servers one after another. Traffic must not begin while a
// gateway knows only the first of them, since no gateway can do without that one.
func TestSystemKnowsAllServers(t *testing.T) {
	convey.Convey("Given a list that names the servers one after another, while gateways start", t, func() {
		s := newLaggingSystem(t, 5*listLag, listLag, 4, 3)
		convey.Convey("Calls are served when the first one leaves", func() {
			f := newTraffic(12, targets(s.gateways...))
			defer f.stop()
			s.fault(platform.Fault{Down: true})
			s.mode(s.servers[0], server.Mode{Draining: true})
			for _, g := range s.gateways {
				s.wait("the sign", func() bool { return g.leaving(s.servers[0].machine.Name) })
			}
			f.stop()
			convey.So(f.failures(), convey.ShouldBeEmpty)
		})
	})
}

// listLeaving lists a server as leaving.
func listLeaving(s *system, e *endpoint) {
	m := e.machine
	m.Leaving = true
	s.list(m)
}
