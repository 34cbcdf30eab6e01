package roster_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
)

var start = time.Unix(1_800_000_000, 0)

func server(n int, incarnation int64) mustardsaddle.Machine {
	return mustardsaddle.Machine{
		Name: fmt.Sprintf("booking-%02d", n), Incarnation: incarnation, Service: "Booking", Zone: "a", Slots: 2,
		Address: fmt.Sprintf("127.0.0.1:%d", 7100+n),
	}
}

func servers(n int) []mustardsaddle.Machine {
	var machines []mustardsaddle.Machine
	for i := range n {
		machines = append(machines, server(i, 1))
	}
	return machines
}

// live returns the names of the servers that are not leaving.
func live(r roster.Roster) []string {
	var names []string
	for _, s := range r.Servers("Booking") {
		if !s.Leaving {
			names = append(names, s.Name)
		}
	}
	return names
}

// liveByZone returns the number of live gateway VMs in each availability zone.
func liveByZone(r roster.Roster) map[string]int {
	counts := make(map[string]int)
	for _, vm := range r.VMs() {
		if !vm.Leaving {
			counts[vm.Zone]++
		}
	}
	return counts
}

func leavingMark(seq, incarnation int64) mustardsaddle.Mark {
	return mustardsaddle.Mark{Name: "booking-00", Incarnation: incarnation, Seq: seq, Leaving: true}
}

func TestLeavingStays(t *testing.T) {
	listed := server(0, 1)
	listed.Leaving = true
	for _, c := range []struct {
		name string
		mark func(roster.Roster) roster.Roster
	}{
		{"the list", func(r roster.Roster) roster.Roster {
			return r.WithPage(start.Add(time.Second), "Booking", []mustardsaddle.Machine{listed, server(1, 1), server(2, 1)})
		}},
		{"a peer", func(r roster.Roster) roster.Roster { return r.WithMark(start, leavingMark(0, 1)) }},
		{"a report", func(r roster.Roster) roster.Roster {
			r, _, _ = r.Observe(start, "booking-00", mustardsaddle.Report{Draining: true})
			return r
		}},
	} {
		convey.Convey("Given a server that "+c.name+" shows as leaving", t, func() {
			r := c.mark(roster.New(roster.Config{}).WithPage(start, "Booking", servers(3)))
			convey.So(live(r), convey.ShouldResemble, []string{"booking-01", "booking-02"})
			convey.Convey("Later pages and older marks that show it as live change nothing", func() {
				r = r.WithMark(start, mustardsaddle.Mark{Name: "booking-00", Incarnation: 1})
				for i := range 100 {
					r = r.WithPage(start.Add(time.Duration(i)*time.Minute), "Booking", servers(3))
				}
				convey.So(live(r), convey.ShouldResemble, []string{"booking-01", "booking-02"})
			})
			convey.Convey("A restart of its VM makes it live", func() {
				r = r.WithPage(start.Add(time.Minute), "Booking", append(servers(3)[1:], server(0, 2)))
				convey.So(live(r), convey.ShouldHaveLength, 3)
			})
		})
	}
}

func TestMisleadingDrainingReport(t *testing.T) {
	convey.Convey("Given a server marked as leaving after one Draining report", t, func() {
		r := roster.New(roster.Config{}).WithPage(start, "Booking", servers(3))
		r, mark, changed := r.Observe(start, "booking-00", mustardsaddle.Report{Draining: true})
		convey.So(changed, convey.ShouldBeTrue)
		convey.So(mark, convey.ShouldResemble, leavingMark(0, 1))
		observe := func(d time.Duration, draining bool) bool {
			r, mark, changed = r.Observe(start.Add(d), "booking-00", mustardsaddle.Report{Draining: draining})
			return changed
		}
		convey.So(r.Servers("Booking")[0].MayReturn, convey.ShouldBeTrue)
		convey.Convey("Five later reports over at least three seconds revert the mark with the next Seq", func() {
			for i := range 4 {
				convey.So(observe(time.Duration(i+1)*time.Second, false), convey.ShouldBeFalse)
			}
			convey.So(observe(5*time.Second, false), convey.ShouldBeTrue)
			convey.So(mark, convey.ShouldResemble, mustardsaddle.Mark{Name: "booking-00", Incarnation: 1, Seq: 1})
			convey.So(live(r), convey.ShouldHaveLength, 3)
			convey.So(observe(6*time.Second, true), convey.ShouldBeTrue)
			convey.So(mark, convey.ShouldResemble, leavingMark(1, 1))
		})
		convey.Convey("Many reports within a second do not", func() {
			for i := range 100 {
				convey.So(observe(time.Duration(i)*10*time.Millisecond, false), convey.ShouldBeFalse)
			}
		})
		convey.Convey("Reports interrupted by Draining ones do not", func() {
			for i := range 100 {
				convey.So(observe(time.Duration(i)*time.Second, i%4 == 3), convey.ShouldBeFalse)
			}
		})
		convey.Convey("No number of reports reverts a final mark", func() {
			r = r.WithMark(start, leavingMark(roster.FinalSeq, 1))
			for i := range 100 {
				convey.So(observe(time.Duration(i)*time.Second, false), convey.ShouldBeFalse)
			}
			convey.So(live(r), convey.ShouldHaveLength, 2)
			convey.So(r.Servers("Booking")[0].MayReturn, convey.ShouldBeFalse)
		})
	})
}

func TestMassRemoval(t *testing.T) {
	convey.Convey("Given ten listed servers", t, func() {
		r := roster.New(roster.Config{}).WithPage(start, "Booking", servers(10))
		convey.Convey("An empty page is always ignored", func() {
			convey.So(live(r.WithPage(start.Add(time.Hour), "Booking", nil)), convey.ShouldHaveLength, 10)
		})
		convey.Convey("A server missing from a page is leaving, and dropped later", func() {
			r = r.WithPage(start.Add(time.Second), "Booking", servers(9))
			convey.So(live(r), convey.ShouldHaveLength, 9)
			convey.So(r.Servers("Booking"), convey.ShouldHaveLength, 10)
			r = r.WithPage(start.Add(2*time.Minute), "Booking", servers(9))
			convey.So(r.Servers("Booking"), convey.ShouldHaveLength, 9)
			convey.So(live(r.WithPage(start.Add(3*time.Minute), "Booking", servers(10))), convey.ShouldHaveLength, 10)
		})
		convey.Convey("A page without most of them takes effect only after thirty seconds", func() {
			for i := 1; i <= 30; i++ {
				r = r.WithPage(start.Add(time.Duration(i)*time.Second), "Booking", servers(2))
				convey.So(live(r), convey.ShouldHaveLength, 10)
			}
			convey.So(live(r.WithPage(start.Add(31*time.Second), "Booking", servers(2))), convey.ShouldHaveLength, 2)
		})
		convey.Convey("A preceding outage of the list does not shorten that delay", func() {
			r = r.WithPage(start.Add(time.Hour), "Booking", servers(2))
			convey.So(live(r), convey.ShouldHaveLength, 10)
		})
	})
}

func TestStartFromAPeersList(t *testing.T) {
	convey.Convey("Given an empty roster and the list of a peer in two messages", t, func() {
		gone := server(4, 1)
		gone.Leaving = true
		r := roster.New(roster.Config{}).WithPeerList(servers(2)).WithPeerList([]mustardsaddle.Machine{server(2, 1), gone})
		convey.So(live(r), convey.ShouldHaveLength, 3)
		convey.Convey("The platform's list takes precedence once it can be read", func() {
			r = r.WithPage(start, "Booking", append(servers(2), server(3, 1)))
			convey.So(live(r), convey.ShouldResemble, []string{"booking-00", "booking-01", "booking-03"})
		})
	})
}

func TestGatewayVMs(t *testing.T) {
	convey.Convey("Given two listed gateway VMs and one that introduced itself", t, func() {
		list := []mustardsaddle.Machine{
			{Name: "gateway-1", Incarnation: 1, Zone: "a"}, {Name: "gateway-2", Incarnation: 1, Zone: "a"},
		}
		r := roster.New(roster.Config{}).WithPage(start, "", list)
		r = r.WithVM(mustardsaddle.VM{Name: "gateway-3", Incarnation: 1, Zone: "b"}).WithPage(start.Add(time.Minute), "", list)
		convey.So(liveByZone(r), convey.ShouldResemble, map[string]int{"a": 2, "b": 1})
		convey.Convey("Unreachable ones are not live until they introduce themselves again", func() {
			r = r.WithUnreachable("gateway-3").WithUnreachable("gateway-2").WithPage(start.Add(2*time.Minute), "", list)
			convey.So(liveByZone(r), convey.ShouldResemble, map[string]int{"a": 1})
			convey.So(roster.Neighbors(r.Peers(), "gateway-1", roster.NeighborConfig{}), convey.ShouldHaveLength, 1)
			r = r.WithVM(mustardsaddle.VM{Name: "gateway-2", Incarnation: 1, Zone: "a"})
			convey.So(liveByZone(r), convey.ShouldResemble, map[string]int{"a": 2})
		})
		// Guards against a restarted gateway that no peer dials, so that it never becomes ready
		// while the platform is down.
		convey.Convey("A later incarnation of a listed one is still dialed while it is unreachable", func() {
			r = r.WithVM(mustardsaddle.VM{Name: "gateway-2", Incarnation: 7, Zone: "a"}).WithUnreachable("gateway-2")
			convey.So(roster.Neighbors(r.Peers(), "gateway-1", roster.NeighborConfig{})[0].Name, convey.ShouldEqual, "gateway-2")
		})
		convey.Convey("A stopping one stays leaving when it introduces itself or is listed again", func() {
			r = r.WithMark(start, mustardsaddle.Mark{Name: "gateway-2", Incarnation: 1, Seq: roster.FinalSeq, Leaving: true})
			r = r.WithVM(mustardsaddle.VM{Name: "gateway-2", Incarnation: 1, Zone: "a"}).WithPage(start.Add(time.Hour), "", list)
			convey.So(liveByZone(r)["a"], convey.ShouldEqual, 1)
			convey.So(r.Gateways(), convey.ShouldEqual, 2)
		})
	})
}

// input is a page or a mark.
type input struct {
	at   time.Time
	page []mustardsaddle.Machine
	mark mustardsaddle.Mark
}

func (in input) apply(r roster.Roster) roster.Roster {
	if in.page != nil {
		return r.WithPage(in.at, "Booking", in.page)
	}
	return r.WithMark(in.at, in.mark)
}

// TestOrderAndRepetitionDoNotMatter checks that pages and marks in any order, with
// repetitions, produce the same roster if the newest page comes last, and that a
// server with a leaving mark is never live.
func TestOrderAndRepetitionDoNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		final := servers(4)
		var inputs []input
		for i := range rapid.IntRange(0, 12).Draw(t, "Inputs") {
			at := start.Add(time.Duration(i) * time.Second)
			m := server(rapid.IntRange(0, 5).Draw(t, "Server"), rapid.Int64Range(1, 2).Draw(t, "Incarnation"))
			m.Leaving = rapid.Bool().Draw(t, "Leaving")
			if rapid.Bool().Draw(t, "List") {
				inputs = append(inputs, input{at: at, page: append(servers(4)[1:], m)})
				continue
			}
			mark := mustardsaddle.Mark{
				Name: m.Name, Incarnation: m.Incarnation, Leaving: m.Leaving, Seq: rapid.Int64Range(0, 2).Draw(t, "Seq"),
			}
			inputs = append(inputs, input{at: at, mark: mark})
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "Seed"), 1))
		run := func() roster.Roster {
			r := roster.New(roster.Config{})
			for _, i := range rng.Perm(len(inputs)) {
				r = inputs[i].apply(r)
				if rng.IntN(2) == 0 {
					r = inputs[rng.IntN(len(inputs))].apply(r)
				}
			}
			for _, in := range inputs {
				r = in.apply(r)
			}
			for i := range 3 {
				r = r.WithPage(start.Add(time.Duration(i+1)*time.Hour), "Booking", final)
			}
			return r
		}
		a, b := run(), run()
		if !reflect.DeepEqual(a.Marks(), b.Marks()) || a.MarksDigest() != b.MarksDigest() {
			t.Fatalf("marks depend on the order: %v and %v", a.Marks(), b.Marks())
		}
		if !reflect.DeepEqual(live(a), live(b)) {
			t.Fatalf("live servers depend on the order: %v and %v", live(a), live(b))
		}
		for _, m := range a.Marks() {
			for _, s := range a.Servers("Booking") {
				if s.Name == m.Name && m.Incarnation >= s.Incarnation && m.Leaving && !s.Leaving {
					t.Fatalf("server %s is live despite mark %v", s.Name, m)
				}
			}
		}
	})
}
