package main_test

import (
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
)

func TestGatewayKilled(t *testing.T) {
	convey.Convey("Given three gateways under load, one of which is killed", t, func() {
		s := newSystem(t, 3, 3)
		f := newTraffic(12, targets(s.gateways[1:]...))
		defer f.stop()
		s.gateways[0].signal(syscall.SIGKILL)
		convey.Convey("Calls through the others go on whole, and a rule change takes force", func() {
			s.submit(strings.Replace(rules, "Path=/rosters", "Path=/calendars Service=Booking # Mei Lin: calendars\nPath=/rosters", 1))
			for _, g := range s.gateways[1:] {
				took := s.wait("the change", func() bool { return get(g.url + "/calendars").ok() })
				convey.So(took, convey.ShouldBeLessThan, promise)
			}
			after := f.calls.Load()
			s.wait("calls", func() bool { return f.calls.Load() > after+300 })
			f.stop()
			convey.So(f.failures(), convey.ShouldBeEmpty)
		})
	})
}

// Callers of a server that is killed are told the truth: Unknown for calls that
// were there and must not be repeated, NotRun for calls that reached no server.
func TestServerKilled(t *testing.T) {
	convey.Convey("Given four servers under load, one of which is killed", t, func() {
		const callers = 12
		s := newSystem(t, 4, 2)
		f := newTraffic(callers, targets(s.gateways...))
		defer f.stop()
		s.wait("calls", func() bool { return f.calls.Load() > 300 })
		s.servers[0].signal(syscall.SIGKILL)
		after := f.calls.Load()
		s.wait("calls", func() bool { return f.calls.Load() > after+1000 })
		f.stop()
		unknown := 0
		for _, b := range f.failures() {
			if strings.Contains(b, "Mustardsaddle-Outcome:[Unknown]") {
				unknown++
				continue
			}
			convey.So(b, convey.ShouldContainSubstring, "Mustardsaddle-Outcome:[NotRun]")
			convey.So(b, convey.ShouldContainSubstring, "Retry-After")
		}
		t.Logf("%d calls after the kill: %d Unknown, %d NotRun", f.calls.Load()-after, unknown, len(f.failures())-unknown)
		convey.So(unknown, convey.ShouldBeLessThanOrEqualTo, callers)
	})
}

// generations polls the generations of gateways, and notes one that falls.
type generations struct {
	stop  chan struct{}
	group sync.WaitGroup
	mu    sync.Mutex
	fell  []string
}

func watchGenerations(gateways []*instance) *generations {
	w := &generations{stop: make(chan struct{})}
	for _, g := range gateways {
		w.group.Add(1)
		go func() {
			defer w.group.Done()
			last := int64(0)
			for {
				select {
				case <-w.stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				n := g.generation()
				if n < 0 {
					continue
				}
				if n < last {
					w.mu.Lock()
					w.fell = append(w.fell, g.name)
					w.mu.Unlock()
				}
				last = n
			}
		}()
	}
	return w
}

func (w *generations) end() []string {
	close(w.stop)
	w.group.Wait()
	return w.fell
}

func TestGatewayFrozen(t *testing.T) {
	convey.Convey("Given a gateway that is frozen while the rules change twice", t, func() {
		s := newSystem(t, 2, 3)
		w := watchGenerations(s.gateways[:2])
		frozen := s.gateways[2]
		frozen.signal(syscall.SIGSTOP)
		text := rules
		var newest int64
		for _, path := range []string{"/one", "/two"} {
			text = "Path=" + path + " Service=Booking # Mei Lin: added\n" + strings.TrimPrefix(text, "# Generation 0\n")
			s.submit("# Generation 0\n" + text)
			for _, g := range s.gateways[:2] {
				took := s.wait("the change", func() bool { return get(g.url + path).ok() })
				convey.So(took, convey.ShouldBeLessThan, promise)
				newest = max(newest, g.generation())
			}
		}
		convey.Convey("It takes the newest rules when it goes on, and nobody goes back", func() {
			frozen.signal(syscall.SIGCONT)
			took := s.wait("the newest rules", func() bool { return get(frozen.url + "/two").ok() })
			convey.So(took, convey.ShouldBeLessThan, promise)
			convey.So(frozen.generation(), convey.ShouldBeGreaterThanOrEqualTo, newest)
			for _, g := range s.gateways {
				convey.So(get(g.url+"/one").ok(), convey.ShouldBeTrue)
				convey.So(get(g.url+"/two").ok(), convey.ShouldBeTrue)
			}
			convey.So(w.end(), convey.ShouldBeEmpty)
		})
	})
}

func TestServerFrozen(t *testing.T) {
	convey.Convey("Given four servers under load, one of which is frozen for two seconds", t, func() {
		s := newSystem(t, 4, 2)
		f := newTraffic(12, targets(s.gateways...))
		defer f.stop()
		s.wait("calls", func() bool { return f.calls.Load() > 300 })
		s.servers[0].signal(syscall.SIGSTOP)
		begin, n := time.Now(), f.calls.Load()
		s.wait("two seconds", func() bool { return time.Since(begin) > 2*time.Second })
		t.Logf("%d calls while the server was frozen", f.calls.Load()-n)
		s.servers[0].signal(syscall.SIGCONT)
		after := f.calls.Load()
		s.wait("calls", func() bool { return f.calls.Load() > after+300 })
		f.stop()
		for _, b := range f.failures() {
			convey.So(b, convey.ShouldContainSubstring, "Mustardsaddle-Outcome:[Unknown]")
		}
		convey.So(len(f.failures()), convey.ShouldBeLessThanOrEqualTo, 12)
		for _, e := range s.servers {
			for _, runs := range s.count(e).Runs {
				convey.So(runs, convey.ShouldEqual, 1)
			}
		}
	})
}

func TestPlatformDown(t *testing.T) {
	convey.Convey("Given three gateways under load, and a platform that is down", t, func() {
		s := newSystem(t, 2, 3)
		f := newTraffic(6, targets(s.gateways[:2]...))
		defer f.stop()
		s.fault(platform.Fault{Down: true})
		convey.Convey("Calls go on, and a gateway that starts anew learns all from its peers", func() {
			g := s.gateways[2]
			g.signal(syscall.SIGKILL)
			<-g.ended
			s.startGateway(g)
			took := s.wait("the start", func() bool { return g.ready() && get(g.url+"/rosters").ok() })
			t.Logf("ready from peers after %v", took)
			f.stop()
			convey.So(f.failures(), convey.ShouldBeEmpty)
			convey.So(g.generation(), convey.ShouldEqual, s.gateways[0].generation())
		})
	})
}
