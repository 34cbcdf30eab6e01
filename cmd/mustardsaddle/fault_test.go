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
		tr := newTraffic(12, targets(s.gateways[1:]...))
		defer tr.stop()
		s.gateways[0].signal(syscall.SIGKILL)
		convey.Convey("Calls through the others succeed, and a rule change takes effect", func() {
			s.submitRules(strings.Replace(rules, "Path=/rosters", "Path=/calendars Service=Booking # Mei Lin: calendars\nPath=/rosters", 1))
			for _, g := range s.gateways[1:] {
				took := s.waitFor("the rule change", func() bool { return get(g.url + "/calendars").ok() })
				convey.So(took, convey.ShouldBeLessThan, propagationLimit)
			}
			after := tr.calls.Load()
			s.waitFor("calls", func() bool { return tr.calls.Load() > after+300 })
			tr.stop()
			convey.So(tr.failures(), convey.ShouldBeEmpty)
		})
	})
}

// Calls that are in flight at a killed server and must not be repeated are
// reported as Unknown; calls that reached no server are reported as NotRun.
func TestServerKilled(t *testing.T) {
	convey.Convey("Given four servers under load, one of which is killed", t, func() {
		const callers = 12
		s := newSystem(t, 4, 2)
		tr := newTraffic(callers, targets(s.gateways...))
		defer tr.stop()
		s.waitFor("calls", func() bool { return tr.calls.Load() > 300 })
		s.servers[0].signal(syscall.SIGKILL)
		after := tr.calls.Load()
		s.waitFor("calls", func() bool { return tr.calls.Load() > after+1000 })
		tr.stop()
		unknown := 0
		for _, failure := range tr.failures() {
			if strings.Contains(failure, "Mustardsaddle-Outcome:[Unknown]") {
				unknown++
				continue
			}
			convey.So(failure, convey.ShouldContainSubstring, "Mustardsaddle-Outcome:[NotRun]")
			convey.So(failure, convey.ShouldContainSubstring, "Retry-After")
		}
		t.Logf("%d calls after the kill: %d Unknown, %d NotRun", tr.calls.Load()-after, unknown, len(tr.failures())-unknown)
		convey.So(unknown, convey.ShouldBeLessThanOrEqualTo, callers)
	})
}

// generationWatcher polls the rules generations of gateways and records the
// gateways whose generation decreased.
type generationWatcher struct {
	done      chan struct{}
	group     sync.WaitGroup
	mu        sync.Mutex
	regressed []string
}

func watchGenerations(gateways []*gateway) *generationWatcher {
	w := &generationWatcher{done: make(chan struct{})}
	for _, g := range gateways {
		w.group.Add(1)
		go func() {
			defer w.group.Done()
			last := int64(0)
			for {
				select {
				case <-w.done:
					return
				case <-time.After(20 * time.Millisecond):
				}
				n := g.generationInForce()
				if n < 0 {
					continue
				}
				if n < last {
					w.mu.Lock()
					w.regressed = append(w.regressed, g.name)
					w.mu.Unlock()
				}
				last = n
			}
		}()
	}
	return w
}

// stop ends the polling and returns the names of the gateways whose generation
// decreased.
func (w *generationWatcher) stop() []string {
	close(w.done)
	w.group.Wait()
	return w.regressed
}

func TestGatewayFrozen(t *testing.T) {
	convey.Convey("Given a gateway that is suspended while the rules change twice", t, func() {
		s := newSystem(t, 2, 3)
		w := watchGenerations(s.gateways[:2])
		suspended := s.gateways[2]
		suspended.signal(syscall.SIGSTOP)
		text := rules
		var newest int64
		for _, path := range []string{"/one", "/two"} {
			text = "Path=" + path + " Service=Booking # Mei Lin: added\n" + strings.TrimPrefix(text, "# Generation 0\n")
			s.submitRules("# Generation 0\n" + text)
			for _, g := range s.gateways[:2] {
				took := s.waitFor("the rule change", func() bool { return get(g.url + path).ok() })
				convey.So(took, convey.ShouldBeLessThan, propagationLimit)
				newest = max(newest, g.generationInForce())
			}
		}
		convey.Convey("It applies the newest rules when it resumes, and no gateway goes back to older ones", func() {
			suspended.signal(syscall.SIGCONT)
			took := s.waitFor("the newest rules", func() bool { return get(suspended.url + "/two").ok() })
			convey.So(took, convey.ShouldBeLessThan, propagationLimit)
			convey.So(suspended.generationInForce(), convey.ShouldBeGreaterThanOrEqualTo, newest)
			for _, g := range s.gateways {
				convey.So(get(g.url+"/one").ok(), convey.ShouldBeTrue)
				convey.So(get(g.url+"/two").ok(), convey.ShouldBeTrue)
			}
			convey.So(w.stop(), convey.ShouldBeEmpty)
		})
	})
}

func TestServerFrozen(t *testing.T) {
	convey.Convey("Given four servers under load, one of which is suspended for two seconds", t, func() {
		s := newSystem(t, 4, 2)
		tr := newTraffic(12, targets(s.gateways...))
		defer tr.stop()
		s.waitFor("calls", func() bool { return tr.calls.Load() > 300 })
		s.servers[0].signal(syscall.SIGSTOP)
		start, n := time.Now(), tr.calls.Load()
		s.waitFor("two seconds", func() bool { return time.Since(start) > 2*time.Second })
		t.Logf("%d calls while the server was suspended", tr.calls.Load()-n)
		s.servers[0].signal(syscall.SIGCONT)
		after := tr.calls.Load()
		s.waitFor("calls", func() bool { return tr.calls.Load() > after+300 })
		tr.stop()
		for _, failure := range tr.failures() {
			convey.So(failure, convey.ShouldContainSubstring, "Mustardsaddle-Outcome:[Unknown]")
		}
		convey.So(len(tr.failures()), convey.ShouldBeLessThanOrEqualTo, 12)
		for _, e := range s.servers {
			for _, runs := range s.counts(e).Runs {
				convey.So(runs, convey.ShouldEqual, 1)
			}
		}
	})
}

// TestPlatformDown guards against calls that fail while the platform is down, and against a
// restarted gateway that never becomes ready because its peers have dropped it.
func TestPlatformDown(t *testing.T) {
	// peersNotice is longer than a gateway takes to find a peer unreachable.
	const peersNotice = 4 * time.Second
	convey.Convey("Given three gateways under load, and a platform that is down", t, func() {
		s := newSystem(t, 2, 3)
		tr := newTraffic(6, targets(s.gateways[:2]...))
		defer tr.stop()
		s.setPlatformFault(platform.Fault{Down: true})
		restart := func(down time.Duration) {
			g := s.gateways[2]
			g.signal(syscall.SIGKILL)
			<-g.exited
			time.Sleep(down)
			s.startGateway(g)
			took := s.waitFor("the restart", func() bool { return g.ready() && get(g.url+"/rosters").ok() })
			t.Logf("ready with the state of its peers after %v", took)
			tr.stop()
			convey.So(tr.failures(), convey.ShouldBeEmpty)
			convey.So(g.generationInForce(), convey.ShouldEqual, s.gateways[0].generationInForce())
		}
		convey.Convey("Calls succeed, and a restarted gateway gets its complete state from its peers", func() { restart(0) })
		convey.Convey("So does one that was down until its peers found it unreachable", func() { restart(peersNotice) })
	})
}
