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
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	near  = mustardsaddle.Need{Zone: "zone-a"}
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

func report(now time.Time, busy int, slowness float64) mustardsaddle.Report {
	return mustardsaddle.Report{InFlight: busy, Slots: 2, Slowness: slowness, At: now}
}

func newSurvey(n int) *survey.Survey {
	v := survey.New(survey.Config{})
	v.SetServers(start, servers(n))
	return v
}

func TestChoosesByReport(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports []mustardsaddle.Report
		need    mustardsaddle.Need
		want    string
	}{
		{"the idle one", []mustardsaddle.Report{report(start, 1, 1), report(start, 0, 1), report(start, 2, 1)}, near, "booking-1"},
		{"a quick one with a free slot before a slow idle one", []mustardsaddle.Report{report(start, 0, 4), report(start, 1, 1)}, near, "booking-1"},
		{"none whose slots are taken", []mustardsaddle.Report{report(start, 2, 1), report(start, 3, 1)}, near, ""},
		{"none that would make it wait, however quick", []mustardsaddle.Report{report(start, 3, 1), report(start, 2, 1)}, near, ""},
		{"a slow one that is idle", []mustardsaddle.Report{report(start, 0, 4), report(start, 2, 1)}, near, "booking-0"},
		{"none with the last slot of a slow one", []mustardsaddle.Report{report(start, 1, 4), report(start, 2, 1)}, near, ""},
		{"none by an old report", []mustardsaddle.Report{report(start.Add(-time.Second), 0, 1)}, near, ""},
		{"none that was tried", []mustardsaddle.Report{report(start, 0, 1)}, mustardsaddle.Need{Exclude: []string{"booking-0"}}, ""},
	} {
		v := newSurvey(len(c.reports))
		for i, r := range c.reports {
			v.Observe(start, fmt.Sprintf("booking-%d", i), r)
		}
		choice, ok := v.Choose(start, newRand(), c.need)
		if ok != (c.want != "") || choice.Server.Name != c.want {
			t.Errorf("%s: got %q, want %q", c.name, choice.Server.Name, c.want)
		}
	}
}

func TestSlownessIsJudgedAmongPeers(t *testing.T) {
	convey.Convey("Given servers on VMs that are all four times as slow as usual, one slot of each taken", t, func() {
		v := newSurvey(3)
		for range 200 {
			for i := range 3 {
				v.Observe(start, fmt.Sprintf("booking-%d", i), report(start, 1, 4))
			}
		}
		convey.Convey("Their last slots are used", func() {
			_, ok := v.Choose(start, newRand(), near)
			convey.So(ok, convey.ShouldBeTrue)
		})
		convey.Convey("One that is slower still keeps its last slot free", func() {
			v.Observe(start, "booking-0", report(start, 1, 12))
			for range 2 {
				choice, ok := v.Choose(start, newRand(), near)
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(choice.Server.Name, convey.ShouldNotEqual, "booking-0")
			}
			_, ok := v.Choose(start, newRand(), near)
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
}

func TestShedsWithoutReason(t *testing.T) {
	for _, c := range []struct {
		name string
		// busy is what the server reports with each shed, in two slots.
		busy int
		// served is how many attempts in between run.
		served int
		want   bool
	}{
		{"servers that shed while they have room leave the choice", 0, 0, false},
		{"full servers stay", 2, 0, true},
		{"servers that serve in between stay", 0, 1, true},
	} {
		v, now := newSurvey(3), start
		shed := func() {
			v.Observe(now, "booking-0", report(now.Add(time.Millisecond), c.busy, 1))
			now = now.Add(2 * time.Millisecond)
			v.Finish(now, mustardsaddle.Result{Server: "booking-0", Outcome: mustardsaddle.NotRun, Shed: true, Latency: 2 * time.Millisecond})
		}
		for range 3 {
			for range c.served {
				v.Finish(now, mustardsaddle.Result{Server: "booking-0", Outcome: mustardsaddle.Ran})
			}
			shed()
		}
		v.Observe(now, "booking-0", report(now, 0, 1))
		if _, ok := v.Choose(now, newRand(), near); ok != c.want {
			t.Errorf("%s: got chosen %v, want %v", c.name, ok, c.want)
		}
	}
}

func TestGuessesWhenNobodyMayBeAsked(t *testing.T) {
	convey.Convey("Given a server whose last report is old", t, func() {
		v := newSurvey(1)
		v.Observe(start, "booking-0", report(start, 2, 1))
		now := start.Add(time.Second)
		convey.Convey("It is not chosen while servers can be asked", func() {
			_, ok := v.Choose(now, newRand(), near)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("It is chosen without a question up to its slots", func() {
			for range 2 {
				choice, ok := v.Choose(now, newRand(), near.WithBlind(true))
				convey.So(ok, convey.ShouldBeTrue)
				convey.So(choice.Reason, convey.ShouldEqual, "Own")
			}
			_, ok := v.Choose(now, newRand(), near.WithBlind(true))
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
}

func TestQuestionsRunShort(t *testing.T) {
	convey.Convey("Given 20 questions a second, of which a call asks 8 at most", t, func() {
		q, now := survey.NewQuestions(8), start
		q.SetRate(now, 20)
		spend := func() int {
			n := q.Next(now)
			for i := range n {
				if !q.Take(now) {
					return i
				}
			}
			return n
		}
		now = now.Add(time.Minute)
		convey.Convey("Calls ask fewer and fewer, and at last nobody", func() {
			var asked []int
			for range 10 {
				asked = append(asked, spend())
			}
			convey.So(asked, convey.ShouldResemble, []int{8, 8, 8, 8, 4, 2, 2, 0, 0, 0})
		})
		convey.Convey("No more is asked in any time than the rate and what was saved for two seconds", func() {
			total := 0
			for range 600 {
				total += spend()
				now = now.Add(10 * time.Millisecond)
			}
			convey.So(total, convey.ShouldBeBetweenOrEqual, 6*20, 6*20+2*20)
		})
	})
}

func TestKnowsAPartOfALargeService(t *testing.T) {
	convey.Convey("Given 256 servers and 16 gateways, each of which knows about 32", t, func() {
		fleet := make([]mustardsaddle.VM, 16)
		for i := range fleet {
			fleet[i].Name = fmt.Sprintf("gateway-%02d", i)
		}
		v := newSurvey(256)
		v.SetFleet(start, "gateway-03", fleet)
		known := v.Ask(start, newRand(), near, 256)
		convey.Convey("It asks those only", func() {
			convey.So(len(known), convey.ShouldBeBetween, 16, 64)
		})
		convey.Convey("What it knows of them stays when another gateway leaves", func() {
			v.Observe(start, known[0].Name, report(start, 0, 1))
			v.SetFleet(start, "gateway-03", fleet[1:])
			choice, ok := v.Choose(start, newRand(), near)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(choice.Server.Name, convey.ShouldEqual, known[0].Name)
		})
		convey.Convey("Alone it knows all", func() {
			v.SetFleet(start, "gateway-03", fleet[3:4])
			convey.So(v.Ask(start, newRand(), near, 256), convey.ShouldHaveLength, 256-len(known))
		})
	})
}

func TestOwnAttemptsCount(t *testing.T) {
	convey.Convey("Given one idle server", t, func() {
		v, rng := newSurvey(1), newRand()
		v.Observe(start, "booking-0", report(start, 0, 1))
		for range 2 {
			_, ok := v.Choose(start, rng, near)
			convey.So(ok, convey.ShouldBeTrue)
		}
		convey.Convey("It takes no more attempts than it has slots", func() {
			_, ok := v.Choose(start, rng, near)
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("An attempt that ends makes room, one that was shed does not", func() {
			v.Finish(start, mustardsaddle.Result{Server: "booking-0", Outcome: mustardsaddle.Ran})
			_, ok := v.Choose(start, rng, near)
			convey.So(ok, convey.ShouldBeTrue)
			v.Finish(start, mustardsaddle.Result{Server: "booking-0", Outcome: mustardsaddle.NotRun, Shed: true})
			_, ok = v.Choose(start, rng, near)
			convey.So(ok, convey.ShouldBeFalse)
		})
	})
}

// TestGreyServers answers the pattern of servers that say they are well and fail
// their requests.
func TestGreyServers(t *testing.T) {
	convey.Convey("Given a server that fails every request, and looks idle for it", t, func() {
		v, rng := newSurvey(5), newRand()
		grey, failed, now := "booking-0", 0, start
		for range 60 {
			now = now.Add(20 * time.Millisecond)
			for i := range 5 {
				v.Observe(now, fmt.Sprintf("booking-%d", i), report(now, min(i, 1), 1))
			}
			choice, ok := v.Choose(now, rng, near)
			convey.So(ok, convey.ShouldBeTrue)
			r := mustardsaddle.Result{Server: choice.Server.Name, Outcome: mustardsaddle.Ran}
			if choice.Server.Name == grey {
				r = mustardsaddle.Result{Server: grey, Failed: true}
				failed++
			}
			v.Finish(now, r)
		}
		convey.Convey("It leaves the choice within a few requests, though answers to questions say that it is well", func() {
			convey.So(failed, convey.ShouldBeBetweenOrEqual, 1, 3)
		})
	})
	convey.Convey("Given that all servers fail, a part of them stays in the choice", t, func() {
		v, rng, now := newSurvey(5), newRand(), start
		for range 100 {
			for i := range 5 {
				v.Observe(now, fmt.Sprintf("booking-%d", i), report(now, 0, 1))
			}
			choice, ok := v.Choose(now, rng, near)
			convey.So(ok, convey.ShouldBeTrue)
			v.Finish(now, mustardsaddle.Result{Server: choice.Server.Name, Failed: true})
		}
	})
}

func TestVerdicts(t *testing.T) {
	fail := mustardsaddle.Result{Server: "booking-0", Failed: true}
	for _, c := range []struct {
		name   string
		do     func(v *survey.Survey)
		reason string
	}{
		{"one failure", func(v *survey.Survey) { v.Finish(start, fail) }, ""},
		{"two failures in a row", func(v *survey.Survey) { v.Finish(start, fail); v.Finish(start, fail) }, "Failures"},
		{"one question without an answer", func(v *survey.Survey) { v.Asked(start, "booking-0", mustardsaddle.NoReply) }, ""},
		{"two in a row", func(v *survey.Survey) {
			v.Asked(start, "booking-0", mustardsaddle.NoReply)
			v.Asked(start, "booking-0", mustardsaddle.NoReply)
		}, "Silent"},
		{"an answer of another server", func(v *survey.Survey) { v.Asked(start, "booking-0", mustardsaddle.OtherReply) }, "OtherServer"},
	} {
		v := newSurvey(5)
		c.do(v)
		verdicts := v.Verdicts()
		if c.reason == "" {
			if len(verdicts) > 0 {
				t.Errorf("%s: got %+v, want no verdict", c.name, verdicts)
			}
			continue
		}
		if len(verdicts) != 1 || verdicts[0].Server != "booking-0" || verdicts[0].Reason != c.reason || verdicts[0].For <= 0 {
			t.Errorf("%s: got %+v, want one of %s", c.name, verdicts, c.reason)
		}
		if again := v.Verdicts(); len(again) > 0 {
			t.Errorf("%s: got %+v told twice", c.name, again)
		}
	}
}

func TestAsk(t *testing.T) {
	convey.Convey("Given twenty servers", t, func() {
		v, rng := newSurvey(20), newRand()
		convey.Convey("As many as wanted are asked, each once at a time", func() {
			first := v.Ask(start, rng, near, 8)
			second := v.Ask(start, rng, near, 8)
			convey.So(first, convey.ShouldHaveLength, 8)
			convey.So(second, convey.ShouldHaveLength, 8)
			for _, s := range second {
				convey.So(first, convey.ShouldNotContain, s)
			}
		})
		convey.Convey("One whose report is a moment old is not asked, and one that was good is", func() {
			for i := range 20 {
				v.Observe(start, fmt.Sprintf("booking-%d", i), report(start, 2, 4))
			}
			v.Observe(start, "booking-7", report(start, 0, 1))
			convey.So(v.Ask(start.Add(time.Millisecond), rng, near, 8), convey.ShouldBeEmpty)
			later := v.Ask(start.Add(100*time.Millisecond), rng, near, 4)
			names := make([]string, len(later))
			for i, s := range later {
				names[i] = s.Name
			}
			convey.So(names, convey.ShouldContain, "booking-7")
		})
		convey.Convey("One that leaves two questions unanswered is not asked for a while", func() {
			one := newSurvey(1)
			for range 2 {
				convey.So(one.Ask(start, rng, near, 8), convey.ShouldHaveLength, 1)
				one.Asked(start, "booking-0", mustardsaddle.NoReply)
			}
			convey.So(one.Ask(start, rng, near, 8), convey.ShouldBeEmpty)
			convey.So(one.Ask(start.Add(time.Second), rng, near, 8), convey.ShouldHaveLength, 1)
		})
	})
}

func TestReplacedServer(t *testing.T) {
	convey.Convey("Given a server that failed and starts again under its name", t, func() {
		v, rng := newSurvey(2), newRand()
		for range 3 {
			v.Finish(start, mustardsaddle.Result{Server: "booking-0", Failed: true})
		}
		list := servers(2)
		list[0].Incarnation = 2
		v.SetServers(start, list)
		convey.Convey("Nothing of its earlier life counts", func() {
			v.Observe(start, "booking-0", report(start, 0, 1))
			choice, ok := v.Choose(start, rng, near)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(choice.Server.Name, convey.ShouldEqual, "booking-0")
		})
	})
}

func TestServiceWithoutReports(t *testing.T) {
	convey.Convey("Given servers that never tell their load, own attempts decide", t, func() {
		v, rng := newSurvey(3), newRand()
		seen := make(map[string]int)
		for range 6 {
			choice, ok := v.Choose(start, rng, near)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(choice.Reason, convey.ShouldEqual, "Own")
			seen[choice.Server.Name]++
		}
		convey.So(seen, convey.ShouldResemble, map[string]int{"booking-0": 2, "booking-1": 2, "booking-2": 2})
	})
}

// TestReusedAddress answers the pattern of servers that end without a word and whose
// addresses go to servers of another service.
func TestReusedAddress(t *testing.T) {
	for _, c := range []struct {
		name string
		tell func(v *survey.Survey)
	}{
		{"a question is answered by another server", func(v *survey.Survey) {
			v.Asked(start, "booking-0", mustardsaddle.OtherReply)
		}},
		{"an attempt is answered by another server", func(v *survey.Survey) {
			v.Finish(start, mustardsaddle.Result{Server: "booking-0", Outcome: mustardsaddle.NotRun, Gone: true})
		}},
	} {
		v, rng := newSurvey(1), newRand()
		v.Observe(start, "booking-0", report(start, 0, 1))
		c.tell(v)
		if choice, ok := v.Choose(start, rng, near); ok {
			t.Errorf("%s: got %s chosen, want none", c.name, choice.Server.Name)
		}
		if asked := v.Ask(start.Add(time.Second), rng, near, 8); len(asked) > 0 {
			t.Errorf("%s: got it asked a second later, want it left alone", c.name)
		}
		if asked := v.Ask(start.Add(5*time.Second), rng, near, 8); len(asked) != 1 {
			t.Errorf("%s: got %d asked later, want 1", c.name, len(asked))
		}
	}
}

// A server that leaves by its reports alone gets no calls and so no questions; only
// probes show that it is back.
func TestProbesServersThatMayReturn(t *testing.T) {
	convey.Convey("Given three servers that leave, two of them by their reports alone, and two gateways", t, func() {
		const interval = 500 * time.Millisecond
		v := survey.New(survey.Config{ProbeInterval: interval})
		list := servers(4)
		for i := range 3 {
			list[i].Leaving = true
			list[i].MayReturn = i < 2
		}
		v.SetServers(start, list)
		v.SetFleet(start, "gateway-1", []mustardsaddle.VM{{Name: "gateway-1"}, {Name: "gateway-2"}})
		convey.Convey("Those two are probed in turn, each at this gateway's part of the interval", func() {
			seen := make(map[string]int)
			rng := newRand()
			const span = 10 * time.Second
			for at := time.Duration(0); at < span; at += 50 * time.Millisecond {
				if s, ok := v.Probe(start.Add(at), rng); ok {
					seen[s.Name]++
				}
			}
			want := int(span / (2 * interval))
			convey.So(seen, convey.ShouldResemble, map[string]int{list[0].Name: want, list[1].Name: want})
		})
	})
}
