package news_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

var start = time.Unix(1_800_000_000, 0)

type delivery struct {
	from, to string
	msg      news.RuleChange
}

// A change that enters at any VM, with any order of delivery, reaches every VM
// over the links that Neighbors gives, and crosses each link at most twice.
func TestFloodReachesEveryVMOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "VMs")
		var vms []mustardsaddle.VM
		for i := range n {
			vms = append(vms, mustardsaddle.VM{Name: fmt.Sprintf("gateway-%d", i), Zone: fmt.Sprintf("zone-%d", i%3)})
		}
		links, relays := make(map[string][]string), make(map[string]*news.Relay)
		total := 0
		for _, vm := range vms {
			relays[vm.Name] = news.NewRelay(news.RelayConfig{})
			for _, peer := range roster.Neighbors(vms, vm.Name, roster.NeighborConfig{}) {
				links[vm.Name] = append(links[vm.Name], peer.Name)
				total++
			}
		}
		first := vms[rapid.IntRange(0, n-1).Draw(t, "First")].Name
		waiting := []delivery{{"", first, news.RuleChange{From: 1, To: 2}}, {"", first, news.RuleChange{From: 2, To: 3}}}
		got := make(map[int64]map[string]bool)
		crossed := 0
		for len(waiting) > 0 {
			i := rapid.IntRange(0, len(waiting)-1).Draw(t, "Next")
			d := waiting[i]
			waiting = append(waiting[:i], waiting[i+1:]...)
			if got[d.msg.To] == nil {
				got[d.msg.To] = make(map[string]bool)
			}
			got[d.msg.To][d.to] = true
			for _, peer := range relays[d.to].Targets(d.from, d.msg, 1, links[d.to]) {
				crossed++
				waiting = append(waiting, delivery{d.to, peer, d.msg})
			}
		}
		if len(got[2]) != n || len(got[3]) != n {
			t.Fatalf("changes reached %d and %d VMs, want %d", len(got[2]), len(got[3]), n)
		}
		if crossed > 2*total {
			t.Fatalf("got %d messages, want at most %d", crossed, 2*total)
		}
	})
}

func TestTargets(t *testing.T) {
	convey.Convey("Given a gateway with three links", t, func() {
		relay := news.NewRelay(news.RelayConfig{})
		links := []string{"a", "b", "c"}
		convey.Convey("New marks go to all but the sender, and no marks go nowhere", func() {
			convey.So(relay.Targets("b", news.Marks{Marks: []mustardsaddle.Mark{mark}}, 0, links), convey.ShouldResemble, []string{"a", "c"})
			convey.So(relay.Targets("b", news.Marks{}, 0, links), convey.ShouldBeEmpty)
		})
		convey.Convey("A change goes on once, and not if its result is in force", func() {
			convey.So(relay.Targets("", change, change.From, links), convey.ShouldResemble, links)
			convey.So(relay.Targets("a", change, change.From, links), convey.ShouldBeEmpty)
			other := news.RuleChange{From: 1, To: 2}
			convey.So(relay.Targets("a", other, 2, links), convey.ShouldBeEmpty)
		})
		convey.Convey("A change from far ahead does not hold back the ones between", func() {
			convey.So(relay.Targets("a", news.RuleChange{From: 1, To: 1 << 62}, 1, links), convey.ShouldHaveLength, 2)
			convey.So(relay.Targets("a", news.RuleChange{From: 1, To: 2}, 1, links), convey.ShouldHaveLength, 2)
		})
		convey.Convey("Answers and heartbeats stay on their link", func() {
			for _, msg := range []news.Message{hello, news.Heartbeat{}, news.AskRules{}, news.WholeRules{}, news.Unknown{}} {
				convey.So(relay.Targets("a", msg, 0, links), convey.ShouldBeEmpty)
			}
		})
	})
}

func TestCompare(t *testing.T) {
	convey.Convey("Given a peer that knows more rules and other marks", t, func() {
		relay := news.NewRelay(news.RelayConfig{})
		own, theirs := news.Summary{Generation: 1}, news.Summary{Generation: 2, MarksDigest: 9}
		compare := func(d time.Duration) news.Gap { return relay.Compare(start.Add(d), "a", own, theirs) }
		convey.So(compare(0), convey.ShouldResemble, news.Gap{AskRules: true, SendMarks: true})
		convey.So(compare(900*time.Millisecond), convey.ShouldResemble, news.Gap{})
		convey.So(compare(time.Second), convey.ShouldResemble, news.Gap{AskRules: true})
		convey.So(compare(5*time.Second), convey.ShouldResemble, news.Gap{AskRules: true, SendMarks: true})
		convey.Convey("It is asked at once after its link came back", func() {
			relay.Forget("a")
			convey.So(compare(5*time.Second), convey.ShouldResemble, news.Gap{AskRules: true, SendMarks: true})
		})
		convey.Convey("A peer that knows the same or less is not asked", func() {
			convey.So(relay.Compare(start, "b", theirs, theirs), convey.ShouldResemble, news.Gap{})
			convey.So(relay.Compare(start, "b", theirs, news.Summary{MarksDigest: 9}), convey.ShouldResemble, news.Gap{})
		})
	})
}
