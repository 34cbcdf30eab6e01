package catalog_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/catalog"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// manyRules returns a rules file with the given number of rules, whose last rule has the
// given deadline.
func manyRules(generation int64, n int, deadline time.Duration) *mustardsaddle.RulesText {
	var b strings.Builder
	for i := range n - 1 {
		fmt.Fprintf(&b, "Path=/%d/* Service=Booking # Mei Lin: route %d\n", i, i)
	}
	fmt.Fprintf(&b, "Path=/last/* Service=Booking Deadline=%s # Tan: the last route\n", deadline)
	return &mustardsaddle.RulesText{Generation: generation, Text: b.String()}
}

// TestLargeRulesChange plays the pattern of a large configuration that changes often: a
// change of one rule among many must not send the whole file over the links, which would
// fill those of small VMs.
func TestLargeRulesChange(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const count = 2000
	collection := mustardsaddle.RulesCollection
	convey.Convey("Given a reader and a peer with many rules in force", t, func() {
		var forwarded []mustardsaddle.Update
		reader := catalog.New(catalog.Config{
			InForce: func(*rule.Table) {},
			Forward: func(_ string, _ mustardsaddle.Collection, u mustardsaddle.Update) { forwarded = append(forwarded, u) },
		})
		peer := catalog.New(catalog.Config{InForce: func(*rule.Table) {}})
		first := mustardsaddle.Update{Whole: true, Position: revision(5), Rules: manyRules(1, count, time.Second)}
		convey.So(reader.ReceiveResponse(now, now, collection, first), convey.ShouldBeNil)
		peer.Receive(now, "reader", collection, first)
		forwarded = nil
		next := mustardsaddle.Update{After: revision(5), Position: revision(6), Rules: manyRules(2, count, 2*time.Second)}
		for _, whole := range []bool{false, true} {
			convey.Convey(fmt.Sprintf("A change of one rule is forwarded as one line, read as a snapshot: %v", whole), func() {
				u := next
				if u.Whole = whole; whole {
					u.After = mustardsaddle.Position{}
				}
				convey.So(reader.ReceiveResponse(now, now, collection, u), convey.ShouldBeNil)
				convey.So(forwarded, convey.ShouldHaveLength, 1)
				convey.So(forwarded[0].Rules, convey.ShouldBeNil)
				convey.So(forwarded[0].RuleChange.In, convey.ShouldHaveLength, 1)
				convey.So(forwarded[0].RuleChange.Out, convey.ShouldHaveLength, 1)
				convey.So(peer.Receive(now, "reader", collection, forwarded[0]), convey.ShouldBeFalse)
				convey.So(peer.Known(now, collection), convey.ShouldResemble, reader.Known(now, collection))
				got, _ := peer.Snapshot()
				want, _ := reader.Snapshot()
				convey.So(got == want, convey.ShouldBeTrue)
			})
		}
		convey.Convey("A peer with other rules in force requests the whole file", func() {
			convey.So(reader.ReceiveResponse(now, now, collection, next), convey.ShouldBeNil)
			other := catalog.New(catalog.Config{InForce: func(*rule.Table) {}})
			other.Receive(now, "reader", collection, mustardsaddle.Update{Whole: true, Position: revision(5), Rules: manyRules(1, count-1, time.Second)})
			convey.So(other.Receive(now, "reader", collection, forwarded[0]), convey.ShouldBeTrue)
			convey.So(other.Known(now, collection).Position, convey.ShouldResemble, revision(5))
			u, _ := reader.CollectionSnapshot(now, collection)
			convey.So(other.Receive(now, "reader", collection, u), convey.ShouldBeFalse)
			convey.So(other.Known(now, collection), convey.ShouldResemble, reader.Known(now, collection))
		})
	})
}

// TestSameContentAtNewerPosition plays the pattern of a busy store: its revision advances
// with writes to other collections. A gateway that hears of a newer position of a
// collection whose content it has must not request the whole collection again.
func TestSameContentAtNewerPosition(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	later := now.Add(time.Second)
	convey.Convey("Given two gateways with the same rules and servers, one at a newer position", t, func() {
		newCatalog := func(at mustardsaddle.Position) *catalog.Catalog {
			c := catalog.New(catalog.Config{InForce: func(*rule.Table) {}, Servers: func(time.Time, string, []mustardsaddle.Server) {}})
			machines := []mustardsaddle.Machine{{Name: "booking-1", Service: "Booking", Address: "10.0.0.1:80", Incarnation: 1}}
			c.Receive(now, "reader", mustardsaddle.RulesCollection, mustardsaddle.Update{Whole: true, Position: at, Rules: rules(1)})
			c.Receive(now, "reader", mustardsaddle.ServersCollection, mustardsaddle.Update{Whole: true, Position: at, Machines: machines})
			return c
		}
		behind, ahead := newCatalog(revision(5)), newCatalog(revision(9))
		for _, c := range []mustardsaddle.Collection{mustardsaddle.RulesCollection, mustardsaddle.ServersCollection} {
			state := ahead.Known(later, c)
			confirmation := mustardsaddle.Update{After: revision(8), Position: revision(9), Digest: state.Digest}
			convey.Convey(fmt.Sprintf("%s: a heartbeat of the other lets the gateway adopt the position", c), func() {
				convey.So(behind.ReceiveState(later, c, state), convey.ShouldBeFalse)
				convey.So(behind.Known(later, c), convey.ShouldResemble, state)
			})
			convey.Convey(fmt.Sprintf("%s: a confirmation that does not continue from its position does so too", c), func() {
				convey.So(behind.Receive(later, "peer", c, confirmation), convey.ShouldBeFalse)
				convey.So(behind.Known(later, c).Position, convey.ShouldResemble, revision(9))
				convey.So(behind.Known(later, c).Age, convey.ShouldEqual, 0)
			})
			for _, digest := range []uint64{0, state.Digest + 1} {
				convey.Convey(fmt.Sprintf("%s: with unknown or other content, digest %d, a snapshot is requested", c, digest), func() {
					state.Digest, confirmation.Digest = digest, digest
					convey.So(behind.ReceiveState(later, c, state), convey.ShouldBeTrue)
					convey.So(behind.Receive(later.Add(time.Second), "peer", c, confirmation), convey.ShouldBeTrue)
					convey.So(behind.Known(later, c).Position, convey.ShouldResemble, revision(5))
				})
			}
		}
	})
}
