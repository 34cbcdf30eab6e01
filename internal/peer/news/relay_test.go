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

// Two rule changes that originate at one VM and are delivered in any order reach every
// VM over the links that roster.Neighbors selects, although the later one can arrive
// first. Each change crosses a link at most once in each direction.
func TestFloodReachesEveryVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "VMs")
		var vms []mustardsaddle.VM
		for i := range n {
			vms = append(vms, mustardsaddle.VM{Name: fmt.Sprintf("gateway-%d", i), Zone: fmt.Sprintf("zone-%d", i%3)})
		}
		links, relays := make(map[string][]string), make(map[string]*news.Relay)
		directedLinks := 0
		for _, vm := range vms {
			relays[vm.Name] = news.NewRelay(news.RelayConfig{})
			for _, peer := range roster.Neighbors(vms, vm.Name, roster.NeighborConfig{}) {
				links[vm.Name] = append(links[vm.Name], peer.Name)
				directedLinks++
			}
		}
		origin := vms[rapid.IntRange(0, n-1).Draw(t, "Origin")].Name
		inFlight := []delivery{{"", origin, news.RuleChange{From: 1, To: 2}}, {"", origin, news.RuleChange{From: 2, To: 3}}}
		reached := make(map[int64]map[string]bool)
		forwarded := 0
		for len(inFlight) > 0 {
			i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "Delivered")
			d := inFlight[i]
			inFlight = append(inFlight[:i], inFlight[i+1:]...)
			if reached[d.msg.To] == nil {
				reached[d.msg.To] = make(map[string]bool)
			}
			reached[d.msg.To][d.to] = true
			for _, peer := range relays[d.to].ForwardTargets(d.from, d.msg, 1, links[d.to]) {
				forwarded++
				inFlight = append(inFlight, delivery{d.to, peer, d.msg})
			}
		}
		if len(reached[2]) != n || len(reached[3]) != n {
			t.Fatalf("the two changes reached %d and %d VMs, want %d", len(reached[2]), len(reached[3]), n)
		}
		if forwarded > 2*directedLinks {
			t.Fatalf("got %d forwarded messages, want at most %d", forwarded, 2*directedLinks)
		}
	})
}

func TestForwardTargets(t *testing.T) {
	convey.Convey("Given a gateway with three links", t, func() {
		relay := news.NewRelay(news.RelayConfig{})
		links := []string{"a", "b", "c"}
		convey.Convey("Marks are forwarded to all peers except the sender, and an empty message to none", func() {
			convey.So(relay.ForwardTargets("b", news.Marks{Marks: []mustardsaddle.Mark{mark}}, 0, links), convey.ShouldResemble, []string{"a", "c"})
			convey.So(relay.ForwardTargets("b", news.Marks{}, 0, links), convey.ShouldBeEmpty)
		})
		convey.Convey("Statements of servers are forwarded to all peers except the sender, and an empty message to none", func() {
			msg := news.Statements{Servers: []mustardsaddle.ServerStatement{{Name: "booking-07", Seq: 1}}}
			convey.So(relay.ForwardTargets("b", msg, 0, links), convey.ShouldResemble, []string{"a", "c"})
			convey.So(relay.ForwardTargets("b", news.Statements{}, 0, links), convey.ShouldBeEmpty)
		})
		convey.Convey("A rule change is forwarded once, and not at all if its generation is in force", func() {
			convey.So(relay.ForwardTargets("", change, change.From, links), convey.ShouldResemble, links)
			convey.So(relay.ForwardTargets("a", change, change.From, links), convey.ShouldBeEmpty)
			other := news.RuleChange{From: 1, To: 2}
			convey.So(relay.ForwardTargets("a", other, 2, links), convey.ShouldBeEmpty)
		})
		convey.Convey("A rule change with a very high generation does not block a later one with a lower generation", func() {
			convey.So(relay.ForwardTargets("a", news.RuleChange{From: 1, To: 1 << 62}, 1, links), convey.ShouldHaveLength, 2)
			convey.So(relay.ForwardTargets("a", news.RuleChange{From: 1, To: 2}, 1, links), convey.ShouldHaveLength, 2)
		})
		convey.Convey("Messages meant for their receiver alone are not forwarded", func() {
			for _, msg := range []news.Message{hello, news.Heartbeat{}, news.AskRules{}, news.WholeRules{}, news.Unknown{}} {
				convey.So(relay.ForwardTargets("a", msg, 0, links), convey.ShouldBeEmpty)
			}
		})
	})
}

func TestCompare(t *testing.T) {
	convey.Convey("Given a peer with newer rules and different marks", t, func() {
		relay := news.NewRelay(news.RelayConfig{})
		own, theirs := news.Summary{Generation: 1}, news.Summary{Generation: 2, MarksDigest: 9}
		compare := func(d time.Duration) news.SyncActions { return relay.Compare(start.Add(d), "a", own, theirs) }
		convey.So(compare(0), convey.ShouldResemble, news.SyncActions{AskRules: true, SendMarks: true})
		convey.So(compare(900*time.Millisecond), convey.ShouldResemble, news.SyncActions{})
		convey.So(compare(time.Second), convey.ShouldResemble, news.SyncActions{AskRules: true})
		convey.So(compare(5*time.Second), convey.ShouldResemble, news.SyncActions{AskRules: true, SendMarks: true})
		convey.Convey("Different limits of servers are sent at most at the same interval", func() {
			relay, theirs := news.NewRelay(news.RelayConfig{}), news.Summary{Generation: 1, StatementsDigest: 7}
			send := news.SyncActions{SendStatements: true}
			convey.So(relay.Compare(start, "a", own, theirs), convey.ShouldResemble, send)
			convey.So(relay.Compare(start.Add(time.Second), "a", own, theirs), convey.ShouldResemble, news.SyncActions{})
			convey.So(relay.Compare(start.Add(5*time.Second), "a", own, theirs), convey.ShouldResemble, send)
			convey.So(relay.Compare(start.Add(10*time.Second), "a", theirs, theirs), convey.ShouldResemble, news.SyncActions{})
		})
		convey.Convey("After its link is re-established, it is asked without delay", func() {
			relay.ResetPeer("a")
			convey.So(compare(5*time.Second), convey.ShouldResemble, news.SyncActions{AskRules: true, SendMarks: true})
		})
		convey.Convey("A peer with the same or older rules and equal marks causes no action", func() {
			convey.So(relay.Compare(start, "b", theirs, theirs), convey.ShouldResemble, news.SyncActions{})
			convey.So(relay.Compare(start, "b", theirs, news.Summary{MarksDigest: 9}), convey.ShouldResemble, news.SyncActions{})
		})
	})
}
