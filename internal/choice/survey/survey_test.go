package survey_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/survey"
)

var (
	start    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	sameZone = mustardsaddle.Requirements{Zone: "zone-a"}
)

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// servers returns n servers of two slots each.
func servers(n int) []mustardsaddle.Server {
	list := make([]mustardsaddle.Server, n)
	for i := range list {
		list[i] = mustardsaddle.Server{
			Name: fmt.Sprintf("booking-%d", i), Incarnation: 1, Address: fmt.Sprintf("10.0.0.%d:80", i+1),
			Service: "Booking", Zone: "zone-a", Slots: 2,
		}
	}
	return list
}

func report(now time.Time, inFlight int, slowness float64) mustardsaddle.Report {
	return mustardsaddle.Report{InFlight: inFlight, Slots: 2, Slowness: slowness, At: now}
}

func newChooser(n int) *survey.Chooser {
	chooser := survey.New(survey.Config{})
	chooser.SetServers(start, servers(n))
	return chooser
}

func TestChoosesByReport(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports []mustardsaddle.Report
		reqs    mustardsaddle.Requirements
		want    string
	}{
		{"prefers the idle server", []mustardsaddle.Report{report(start, 1, 1), report(start, 0, 1), report(start, 2, 1)}, sameZone, "booking-1"},
		{"prefers a fast server with a free slot to a slow idle one", []mustardsaddle.Report{report(start, 0, 4), report(start, 1, 1)}, sameZone, "booking-1"},
		{"rejects servers without a free slot", []mustardsaddle.Report{report(start, 2, 1), report(start, 3, 1)}, sameZone, ""},
		{"rejects servers with a queue, however fast", []mustardsaddle.Report{report(start, 3, 1), report(start, 2, 1)}, sameZone, ""},
		{"accepts a slow server that is idle", []mustardsaddle.Report{report(start, 0, 4), report(start, 2, 1)}, sameZone, "booking-0"},
		{"keeps the last slot of a slow server free", []mustardsaddle.Report{report(start, 1, 4), report(start, 2, 1)}, sameZone, ""},
		{"ignores a stale report", []mustardsaddle.Report{report(start.Add(-time.Second), 0, 1)}, sameZone, ""},
		{"skips a server that was tried already", []mustardsaddle.Report{report(start, 0, 1)}, mustardsaddle.Requirements{Exclude: []string{"booking-0"}}, ""},
	} {
		chooser := newChooser(len(c.reports))
		for i, r := range c.reports {
			chooser.Observe(start, fmt.Sprintf("booking-%d", i), r)
		}
		choice, ok := chooser.Choose(start, newRand(), c.reqs)
		if ok != (c.want != "") || choice.Server.Name != c.want {
			t.Errorf("%s: got %q, want %q", c.name, choice.Server.Name, c.want)
		}
	}
}

func TestSlownessIsJudgedAmongPeers(t *testing.T) {
	convey.Convey("Given servers on VMs that are all four times as slow as usual, one slot of each taken", t, func() {
		chooser := newChooser(3)
		for range 200 {
			for i := range 3 {
				chooser.Observe(start, fmt.Sprintf("booking-%d", i), report(start, 1, 4))
			}
		}
		convey.Convey("Their last slots are used", func() {
			_, ok := chooser.Choose(start, newRand(), sameZone)
			convey.So(ok, convey.ShouldBeTrue)
		})
		convey.Convey("The last slot of an even slower server stays free", func() {
			chooser.Observe(start, "booking-0", report(start, 1, 12))
			for range 2 {
				choice, ok := chooser.Choose(start, newRand(), sameZone)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(choice.Server.Name, convey.ShouldNotEqual, "booking-0")
			}
			_, ok := chooser.Choose(start, newRand(), sameZone)
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
}

func TestUnexplainedSheds(t *testing.T) {
	for _, c := range []struct {
		name string
		// inFlight is the load that the server reports with each shed; it has two slots.
		inFlight int
		// served is the number of successful attempts before each shed.
		served int
		want   bool
	}{
		{"servers that shed while they have capacity are ejected", 0, 0, false},
		{"full servers are not ejected", 2, 0, true},
		{"servers with successes between the sheds are not ejected", 0, 1, true},
	} {
		chooser, now := newChooser(3), start
		shed := func() {
			chooser.Observe(now, "booking-0", report(now.Add(time.Millisecond), c.inFlight, 1))
			now = now.Add(2 * time.Millisecond)
			chooser.Finish(now, mustardsaddle.Result{Server: "booking-0", Outcome: mustardsaddle.NotRun, Shed: true, Latency: 2 * time.Millisecond})
		}
		for range 3 {
			for range c.served {
				chooser.Finish(now, mustardsaddle.Result{Server: "booking-0", Outcome: mustardsaddle.Ran})
			}
			shed()
		}
		chooser.Observe(now, "booking-0", report(now, 0, 1))
		if _, ok := chooser.Choose(now, newRand(), sameZone); ok != c.want {
			t.Errorf("%s: got server chosen %v, want %v", c.name, ok, c.want)
		}
	}
}

func TestChoiceWithoutQueries(t *testing.T) {
	convey.Convey("Given a server whose last report is stale", t, func() {
		chooser := newChooser(1)
		chooser.Observe(start, "booking-0", report(start, 2, 1))
		now := start.Add(time.Second)
		convey.Convey("It is not chosen while servers can be queried", func() {
			_, ok := chooser.Choose(now, newRand(), sameZone)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("Without queries, it is chosen up to its number of slots", func() {
			for range 2 {
				choice, ok := chooser.Choose(now, newRand(), sameZone.WithUnqueried(true))
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(choice.Reason, convey.ShouldEqual, "Own")
			}
			_, ok := chooser.Choose(now, newRand(), sameZone.WithUnqueried(true))
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
}

// A server that limits its requests must not be queried, since queries would use up its
// limit, and must still be chosen, since only a response shows that the limit has changed.
func TestLimitedServer(t *testing.T) {
	limited := sameZone
	limited.Limited = []string{"booking-0"}
	convey.Convey("Given an idle server and a limited one whose last report is stale", t, func() {
		chooser := newChooser(2)
		chooser.Observe(start, "booking-0", report(start, 2, 4))
		now := start.Add(3 * time.Second)
		chooser.Observe(now, "booking-1", report(now, 0, 1))
		convey.Convey("Only the other one is queried", func() {
			queried := chooser.SelectQueries(now.Add(time.Second), newRand(), limited, 8)
			convey.So(queried, convey.ShouldHaveLength, 1)
			convey.So(queried[0].Name, convey.ShouldEqual, "booking-1")
		})
		convey.Convey("The limited one counts as idle and takes its turn", func() {
			chosen := make(map[string]int)
			rng := newRand()
			for range 100 {
				choice, ok := chooser.Choose(now, rng, limited)
				convey.So(ok, convey.ShouldBeTrue)
				chosen[choice.Server.Name]++
				chooser.Finish(now, mustardsaddle.Result{Server: choice.Server.Name, Outcome: mustardsaddle.Ran})
			}
			convey.So(chosen["booking-0"], convey.ShouldBeBetween, 20, 80)
		})
		convey.Convey("It is chosen alone, up to its number of slots", func() {
			limited.Exclude = []string{"booking-1"}
			for range 2 {
				choice, ok := chooser.Choose(now, newRand(), limited)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(choice.Reason, convey.ShouldEqual, "Limited")
			}
			_, ok := chooser.Choose(now, newRand(), limited)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("Without a response for long, it is preferred to a server in the gateway's zone", func() {
			remote := servers(2)
			remote[0].Zone = "zone-b"
			chooser.SetServers(now, remote)
			later := start.Add(5 * time.Second)
			chooser.Observe(later, "booking-1", report(later, 0, 1))
			choice, _ := chooser.Choose(later, newRand(), limited)
			convey.So(choice.Server.Name, convey.ShouldEqual, "booking-0")
		})
	})
}

func TestQueryLimit(t *testing.T) {
	convey.Convey("Given a limit of 20 queries per second and 8 per call", t, func() {
		q, now := survey.NewQueryLimiter(8), start
		q.SetRate(now, 20)
		query := func() int {
			n := q.CallLimit(now)
			for i := range n {
				if !q.Allow(now) {
					return i
				}
			}
			return n
		}
		now = now.Add(time.Minute)
		convey.Convey("Successive calls send fewer queries, and at last none", func() {
			var sent []int
			for range 10 {
				sent = append(sent, query())
			}
			convey.So(sent, convey.ShouldResemble, []int{8, 8, 8, 8, 4, 2, 2, 0, 0, 0})
		})
		convey.Convey("The total stays within the rate plus a burst of two seconds", func() {
			total := 0
			for range 600 {
				total += query()
				now = now.Add(10 * time.Millisecond)
			}
			convey.So(total, convey.ShouldBeBetweenOrEqual, 6*20, 6*20+2*20)
		})
	})
}

func TestSubsetOfLargeService(t *testing.T) {
	convey.Convey("Given 256 servers and 16 gateways that know about 32 servers each", t, func() {
		fleet := make([]mustardsaddle.VM, 16)
		for i := range fleet {
			fleet[i].Name = fmt.Sprintf("gateway-%02d", i)
		}
		chooser := newChooser(256)
		chooser.SetFleet(start, "gateway-03", fleet)
		known := chooser.SelectQueries(start, newRand(), sameZone, 256)
		convey.Convey("A gateway queries only its subset", func() {
			convey.So(len(known), convey.ShouldBeBetween, 16, 64)
		})
		convey.Convey("Its state of a server is kept when another gateway leaves", func() {
			chooser.Observe(start, known[0].Name, report(start, 0, 1))
			chooser.SetFleet(start, "gateway-03", fleet[1:])
			choice, ok := chooser.Choose(start, newRand(), sameZone)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(choice.Server.Name, convey.ShouldEqual, known[0].Name)
		})
		convey.Convey("A single gateway knows all servers", func() {
			chooser.SetFleet(start, "gateway-03", fleet[3:4])
			convey.So(chooser.SelectQueries(start, newRand(), sameZone, 256), convey.ShouldHaveLength, 256-len(known))
		})
	})
}

func TestOwnAttemptsCount(t *testing.T) {
	convey.Convey("Given one idle server", t, func() {
		chooser, rng := newChooser(1), newRand()
		chooser.Observe(start, "booking-0", report(start, 0, 1))
		for range 2 {
			_, ok := chooser.Choose(start, rng, sameZone)
			convey.So(ok, convey.ShouldBeTrue)
		}
		convey.Convey("It takes no more attempts than it has slots", func() {
			_, ok := chooser.Choose(start, rng, sameZone)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("A finished attempt frees a slot, a shed one does not", func() {
			chooser.Finish(start, mustardsaddle.Result{Server: "booking-0", Outcome: mustardsaddle.Ran})
			_, ok := chooser.Choose(start, rng, sameZone)
			convey.So(ok, convey.ShouldBeTrue)
			chooser.Finish(start, mustardsaddle.Result{Server: "booking-0", Outcome: mustardsaddle.NotRun, Shed: true})
			_, ok = chooser.Choose(start, rng, sameZone)
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
}

// TestGrayFailure covers servers with a gray failure: they report that they are
// healthy and fail their requests. Since they look idle, they would attract most of
// the attempts.
func TestGrayFailure(t *testing.T) {
	convey.Convey("Given a server that fails every request and therefore looks idle", t, func() {
		chooser, rng := newChooser(5), newRand()
		failing, failed, now := "booking-0", 0, start
		for range 60 {
			now = now.Add(20 * time.Millisecond)
			for i := range 5 {
				chooser.Observe(now, fmt.Sprintf("booking-%d", i), report(now, min(i, 1), 1))
			}
			choice, ok := chooser.Choose(now, rng, sameZone)
			convey.So(ok, convey.ShouldBeTrue)
			r := mustardsaddle.Result{Server: choice.Server.Name, Outcome: mustardsaddle.Ran}
			if choice.Server.Name == failing {
				r = mustardsaddle.Result{Server: failing, Failed: true}
				failed++
			}
			chooser.Finish(now, r)
		}
		convey.Convey("It is ejected within a few requests, although it reports that it is healthy", func() {
			convey.So(failed, convey.ShouldBeBetweenOrEqual, 1, 3)
		})
	})
	convey.Convey("Given that all servers fail, some of them are not ejected", t, func() {
		chooser, rng, now := newChooser(5), newRand(), start
		for range 100 {
			for i := range 5 {
				chooser.Observe(now, fmt.Sprintf("booking-%d", i), report(now, 0, 1))
			}
			choice, ok := chooser.Choose(now, rng, sameZone)
			convey.So(ok, convey.ShouldBeTrue)
			chooser.Finish(now, mustardsaddle.Result{Server: choice.Server.Name, Failed: true})
		}
	})
}

func TestExclusions(t *testing.T) {
	fail := mustardsaddle.Result{Server: "booking-0", Failed: true}
	for _, c := range []struct {
		name   string
		do     func(chooser *survey.Chooser)
		reason string
	}{
		{"one failure", func(chooser *survey.Chooser) { chooser.Finish(start, fail) }, ""},
		{"two failures in a row", func(chooser *survey.Chooser) { chooser.Finish(start, fail); chooser.Finish(start, fail) }, "Failures"},
		{"one unanswered query", func(chooser *survey.Chooser) { chooser.RecordQuery(start, "booking-0", mustardsaddle.NoReply) }, ""},
		{"two unanswered queries in a row", func(chooser *survey.Chooser) {
			chooser.RecordQuery(start, "booking-0", mustardsaddle.NoReply)
			chooser.RecordQuery(start, "booking-0", mustardsaddle.NoReply)
		}, "Silent"},
		{"a reply from another server", func(chooser *survey.Chooser) { chooser.RecordQuery(start, "booking-0", mustardsaddle.OtherReply) }, "OtherServer"},
	} {
		chooser := newChooser(5)
		c.do(chooser)
		exclusions := chooser.Exclusions()
		if c.reason == "" {
			if len(exclusions) > 0 {
				t.Errorf("%s: got %+v, want no exclusion", c.name, exclusions)
			}
			continue
		}
		if len(exclusions) != 1 || exclusions[0].Server != "booking-0" || exclusions[0].Reason != c.reason || exclusions[0].Duration <= 0 {
			t.Errorf("%s: got %+v, want one exclusion with reason %s", c.name, exclusions, c.reason)
		}
		if again := chooser.Exclusions(); len(again) > 0 {
			t.Errorf("%s: got %+v again, want each exclusion returned once", c.name, again)
		}
	}
}

func TestQuerySelection(t *testing.T) {
	convey.Convey("Given twenty servers", t, func() {
		chooser, rng := newChooser(20), newRand()
		convey.Convey("Up to n servers are returned, none with a pending query", func() {
			first := chooser.SelectQueries(start, rng, sameZone, 8)
			second := chooser.SelectQueries(start, rng, sameZone, 8)
			convey.So(first, convey.ShouldHaveLength, 8)
			convey.So(second, convey.ShouldHaveLength, 8)
			for _, s := range second {
				convey.So(first, convey.ShouldNotContain, s)
			}
		})
		convey.Convey("A server with a recent report is skipped, and the best last known one is included", func() {
			for i := range 20 {
				chooser.Observe(start, fmt.Sprintf("booking-%d", i), report(start, 2, 4))
			}
			chooser.Observe(start, "booking-7", report(start, 0, 1))
			convey.So(chooser.SelectQueries(start.Add(time.Millisecond), rng, sameZone, 8), convey.ShouldBeEmpty)
			later := chooser.SelectQueries(start.Add(100*time.Millisecond), rng, sameZone, 4)
			names := make([]string, len(later))
			for i, s := range later {
				names[i] = s.Name
			}
			convey.So(names, convey.ShouldContain, "booking-7")
		})
		convey.Convey("A server that leaves two queries unanswered is skipped for a while", func() {
			single := newChooser(1)
			for range 2 {
				convey.So(single.SelectQueries(start, rng, sameZone, 8), convey.ShouldHaveLength, 1)
				single.RecordQuery(start, "booking-0", mustardsaddle.NoReply)
			}
			convey.So(single.SelectQueries(start, rng, sameZone, 8), convey.ShouldBeEmpty)
			convey.So(single.SelectQueries(start.Add(time.Second), rng, sameZone, 8), convey.ShouldHaveLength, 1)
		})
	})
}

func TestReplacedServer(t *testing.T) {
	convey.Convey("Given a server that failed and restarted under the same name", t, func() {
		chooser, rng := newChooser(2), newRand()
		for range 3 {
			chooser.Finish(start, mustardsaddle.Result{Server: "booking-0", Failed: true})
		}
		list := servers(2)
		list[0].Incarnation = 2
		chooser.SetServers(start, list)
		convey.Convey("No state of its previous incarnation is kept", func() {
			chooser.Observe(start, "booking-0", report(start, 0, 1))
			choice, ok := chooser.Choose(start, rng, sameZone)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(choice.Server.Name, convey.ShouldEqual, "booking-0")
		})
	})
}

func TestServiceWithoutReports(t *testing.T) {
	convey.Convey("Given servers that never report their load, own attempts in flight decide", t, func() {
		chooser, rng := newChooser(3), newRand()
		seen := make(map[string]int)
		for range 6 {
			choice, ok := chooser.Choose(start, rng, sameZone)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(choice.Reason, convey.ShouldEqual, "Own")
			seen[choice.Server.Name]++
		}
		convey.So(seen, convey.ShouldResemble, map[string]int{"booking-0": 2, "booking-1": 2, "booking-2": 2})
	})
}

// TestReusedAddress covers servers that end without notice and whose addresses are
// then assigned to servers of another service.
func TestReusedAddress(t *testing.T) {
	for _, c := range []struct {
		name   string
		signal func(chooser *survey.Chooser)
	}{
		{"another server answers a query", func(chooser *survey.Chooser) {
			chooser.RecordQuery(start, "booking-0", mustardsaddle.OtherReply)
		}},
		{"another server answers an attempt", func(chooser *survey.Chooser) {
			chooser.Finish(start, mustardsaddle.Result{Server: "booking-0", Outcome: mustardsaddle.NotRun, AddressTaken: true})
		}},
	} {
		chooser, rng := newChooser(1), newRand()
		chooser.Observe(start, "booking-0", report(start, 0, 1))
		c.signal(chooser)
		if choice, ok := chooser.Choose(start, rng, sameZone); ok {
			t.Errorf("%s: got %s chosen, want none", c.name, choice.Server.Name)
		}
		if queried := chooser.SelectQueries(start.Add(time.Second), rng, sameZone, 8); len(queried) > 0 {
			t.Errorf("%s: got it queried a second later, want it skipped", c.name)
		}
		if queried := chooser.SelectQueries(start.Add(5*time.Second), rng, sameZone, 8); len(queried) != 1 {
			t.Errorf("%s: got %d queried later, want 1", c.name, len(queried))
		}
	}
}

// TestProbesServersThatMayReturn covers servers that are leaving only by their own
// reports. Calls neither choose nor query them, so without probes they would stay
// out of use after they are back.
func TestProbesServersThatMayReturn(t *testing.T) {
	convey.Convey("Given two gateways and three leaving servers, two of which are leaving only by their reports", t, func() {
		const interval = 500 * time.Millisecond
		chooser := survey.New(survey.Config{ProbeInterval: interval})
		list := servers(4)
		for i := range 3 {
			list[i].Leaving = true
			list[i].MayReturn = i < 2
		}
		chooser.SetServers(start, list)
		chooser.SetFleet(start, "gateway-1", []mustardsaddle.VM{{Name: "gateway-1"}, {Name: "gateway-2"}})
		convey.Convey("Those two are probed in turn, each at this gateway's share of the rate", func() {
			seen := make(map[string]int)
			rng := newRand()
			const span = 10 * time.Second
			for at := time.Duration(0); at < span; at += 50 * time.Millisecond {
				if s, ok := chooser.Probe(start.Add(at), rng); ok {
					seen[s.Name]++
				}
			}
			want := int(span / (2 * interval))
			convey.So(seen, convey.ShouldResemble, map[string]int{list[0].Name: want, list[1].Name: want})
		})
	})
}
