package catalog_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/catalog"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

func TestEraTracker(t *testing.T) {
	unreadable := fmt.Errorf("not a number")
	for _, c := range []struct {
		name     string
		newest   int64
		stated   int64
		eraError error
		era      int64
		change   catalog.EraChange
		ignored  int64
	}{
		{"directory without eras", 0, 0, nil, 0, catalog.EraUnchanged, 0},
		{"first era", 0, 7, nil, 7, catalog.EraUnchanged, 0},
		{"same era", 7, 7, nil, 7, catalog.EraUnchanged, 0},
		{"raised", 7, 8, nil, 8, catalog.EraRaised, 0},
		{"missing", 7, 0, nil, 7, catalog.EraMissing, 1},
		{"unreadable", 7, 0, unreadable, 7, catalog.EraUnreadable, 1},
		{"lowered", 7, 6, nil, 6, catalog.EraLowered, 1},
	} {
		var tracker catalog.EraTracker
		tracker.Raise(c.newest)
		p, change := tracker.Resolve(mustardsaddle.Position{Era: c.stated, Revision: 3}, c.eraError)
		if want := (mustardsaddle.Position{Era: c.era, Revision: 3}); p != want || change != c.change || tracker.Ignored() != c.ignored {
			t.Errorf("%s: got %v, %v, %d ignored, want %v, %v, %d ignored", c.name, p, change, tracker.Ignored(), want, c.change, c.ignored)
		}
		if tracker.Newest() < c.newest {
			t.Errorf("%s: the newest era fell from %d to %d", c.name, c.newest, tracker.Newest())
		}
	}
}

// TestRestoredCopyIsOlder guards against the use of a server that had left, or of an
// incarnation that had ended, because the directory was restored from a copy that still
// lists it; and against dropping a server that the copy does not contain yet.
func TestRestoredCopyIsOlder(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := start.Add
	server := func(name string, incarnation int64, leaving bool) mustardsaddle.Machine {
		return mustardsaddle.Machine{Name: name, Service: "Booking", Address: "10.0.0.1:80", Incarnation: incarnation, Leaving: leaving}
	}
	whole := func(era int64, servers ...mustardsaddle.Machine) mustardsaddle.Update {
		return mustardsaddle.Update{Whole: true, Position: mustardsaddle.Position{Era: era, Revision: 1}, Machines: servers}
	}
	rewritten := mustardsaddle.Position{Era: 2, Revision: 2}
	serving := func(c *catalog.Core) string {
		text := ""
		for _, s := range c.Servers("Booking") {
			if !s.Leaving {
				text += fmt.Sprintf("%s%d ", s.Name, s.Incarnation)
			}
		}
		return text
	}
	convey.Convey("Given servers of which one left, one is leaving, one restarted and one joined before the restore", t, func() {
		c := catalog.NewCore(catalog.CoreConfig{RetainMissing: 2 * time.Second, RestoreGuard: 10 * time.Second})
		c.Contact(start, start)
		copied := whole(1, server("gone", 1, false), server("leaving", 1, false), server("restarted", 1, false), server("stays", 1, false))
		c.Apply(start, copied)
		c.Apply(at(time.Second), whole(1, server("joined", 1, false), server("leaving", 1, true), server("restarted", 2, false), server("stays", 1, false)))
		convey.So(serving(c), convey.ShouldEqual, "joined1 restarted2 stays1 ")
		c.Restored(at(2 * time.Second))
		copied.Position.Era = 2
		c.Apply(at(2*time.Second), copied)
		convey.Convey("The newer statements stay in effect, but the entries count as listed", func() {
			convey.So(serving(c), convey.ShouldEqual, "joined1 restarted2 stays1 ")
			convey.So(c.Machines(), convey.ShouldResemble, copied.Machines)
			convey.So(c.HasPending(), convey.ShouldBeTrue)
		})
		convey.Convey("What is written again confirms them", func() {
			c.Apply(at(3*time.Second), mustardsaddle.Update{
				Position: rewritten,
				Removed:  []string{"gone"},
				Machines: []mustardsaddle.Machine{server("joined", 1, false), server("leaving", 1, true), server("restarted", 2, false)},
			})
			c.Expire(at(time.Minute), at(time.Minute))
			convey.So(serving(c), convey.ShouldEqual, "joined1 restarted2 stays1 ")
			convey.So(c.HasPending(), convey.ShouldBeFalse)
		})
		convey.Convey("A new incarnation is used at once", func() {
			c.Apply(at(3*time.Second), mustardsaddle.Update{Position: rewritten, Machines: []mustardsaddle.Machine{server("gone", 2, false), server("leaving", 2, false)}})
			convey.So(serving(c), convey.ShouldEqual, "gone2 joined1 leaving2 restarted2 stays1 ")
		})
		convey.Convey("An entry that is still listed after the guard is used, and a missing one is dropped", func() {
			c.Expire(at(11900*time.Millisecond), at(11900*time.Millisecond))
			convey.So(serving(c), convey.ShouldEqual, "restarted2 stays1 ")
			c.Expire(at(12*time.Second), at(12*time.Second))
			convey.So(serving(c), convey.ShouldEqual, "gone1 leaving1 restarted1 stays1 ")
			convey.So(c.HasPending(), convey.ShouldBeFalse)
		})
	})
}

// TestLateResponseOfAnOldEra guards against the use of a response that was sent before the
// directory was restored and arrives after a response of the new era.
func TestLateResponseOfAnOldEra(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	convey.Convey("Given a catalog that has read rules of era 2", t, func() {
		restores := 0
		c := catalog.New(catalog.Config{
			InForce: func(*rule.Table) {}, Servers: func(time.Time, string, []mustardsaddle.Server) {},
			Restored: func(time.Time, int64) { restores++ },
		})
		collection := mustardsaddle.RulesCollection
		old := mustardsaddle.Update{Whole: true, Position: mustardsaddle.Position{Era: 1, Revision: 90}, Rules: rules(3)}
		restored := mustardsaddle.Update{Whole: true, Position: mustardsaddle.Position{Era: 2, Revision: 40}, Rules: rules(2)}
		convey.So(c.ReceiveResponse(now, now, collection, old), convey.ShouldBeNil)
		convey.So(c.ReceiveResponse(now, now, collection, restored), convey.ShouldBeNil)
		convey.So(restores, convey.ShouldEqual, 1)
		convey.Convey("The newer rules stay in force and are advertised to peers", func() {
			_, generation := c.Snapshot()
			convey.So(generation, convey.ShouldEqual, 3)
			convey.So(undigested(c.Known(now, collection)), convey.ShouldResemble, mustardsaddle.CollectionState{Position: restored.Position, Generation: 3})
		})
		convey.Convey("A late response of era 1 is refused and counted", func() {
			old.Position.Revision = 95
			err := c.ReceiveResponse(now, now, collection, old)
			convey.So(code.Of(err), convey.ShouldEqual, code.StoreOldEra)
			newest, ignored := c.Eras()
			convey.So(newest, convey.ShouldEqual, 2)
			convey.So(ignored, convey.ShouldEqual, 1)
		})
		convey.Convey("Changes after a revision of era 1 in a response of era 2 require a snapshot", func() {
			u := mustardsaddle.Update{After: old.Position, Position: mustardsaddle.Position{Era: 2, Revision: 95}}
			convey.So(code.Of(c.ReceiveResponse(now, now, collection, u)), convey.ShouldEqual, code.StoreHistoryLost)
		})
		convey.Convey("A response without an era counts as one of era 2", func() {
			u := mustardsaddle.Update{After: restored.Position, Position: mustardsaddle.Position{Revision: 41}, Rules: rules(4)}
			convey.So(c.ReceiveResponse(now, now, collection, u), convey.ShouldBeNil)
			_, generation := c.Snapshot()
			convey.So(generation, convey.ShouldEqual, 4)
		})
		convey.Convey("A gateway that started after the restore requests the newer rules", func() {
			started := catalog.New(catalog.Config{InForce: func(*rule.Table) {}})
			convey.So(started.ReceiveResponse(now, now, collection, restored), convey.ShouldBeNil)
			convey.So(started.ReceiveState(now, collection, c.Known(now, collection)), convey.ShouldBeTrue)
			u, known := c.CollectionSnapshot(now, collection)
			convey.So(known, convey.ShouldBeTrue)
			started.Receive(now, "peer", collection, u)
			_, generation := started.Snapshot()
			convey.So(generation, convey.ShouldEqual, 3)
		})
	})
}

// TestPropertyRestores checks with random writes, restores, losses and orders of messages
// that rules never fall back, that no gateway uses a server again that it knew to be
// leaving or gone, and that all gateways end up with the state of the directory.
func TestPropertyRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newRestoreModel(t, 3)
		names := []string{"a", "b", "c", "d"}
		gateway := rapid.IntRange(0, len(m.gateways)-1)
		m.copies = append(m.copies, m.directory.Copy())
		read := func() { m.read(gateway.Draw(t, "reader"), rapid.SampledFrom(collections).Draw(t, "collection")) }
		steps := rapid.IntRange(10, maxModelSteps).Draw(t, "steps")
		for range steps {
			switch action := rapid.IntRange(0, 15).Draw(t, "action"); {
			case action == 0:
				m.rules++
				m.directory.PutRules(*rules(m.rules))
			case action <= 4:
				m.changeServer(rapid.SampledFrom(names).Draw(t, "name"))
			case action == 5:
				m.copies = append(m.copies, m.directory.Copy())
			case action == 6:
				// The copy is one of the last two, so that it is some writes old.
				m.directory.Restore(m.copies[max(0, len(m.copies)-1-rapid.IntRange(0, 1).Draw(t, "copy"))])
				m.rewriteAt = m.now.Add(time.Duration(rapid.IntRange(1, modelRewriteLimit).Draw(t, "rewrite")) * modelStep)
				read()
			case action <= 9:
				read()
			case action == 10:
				m.heartbeat(gateway.Draw(t, "from"), gateway.Draw(t, "to"), rapid.SampledFrom(collections).Draw(t, "collection"))
			case action <= 14:
				m.deliver()
			default:
				m.advance(rapid.IntRange(1, 5).Draw(t, "time"))
			}
			m.check()
		}
		m.settle()
		want, _ := m.directory.Snapshot(context.Background(), mustardsaddle.ServersCollection, true)
		for i, g := range m.gateways {
			u, _ := g.CollectionSnapshot(m.now, mustardsaddle.ServersCollection)
			if fmt.Sprint(u.Machines) != fmt.Sprint(want.Machines) || u.Position != want.Position {
				t.Fatalf("gateway %d: got %v at %v, want %v at %v", i, u.Machines, u.Position, want.Machines, want.Position)
			}
			if len(g.Servers()) != len(want.Machines) || g.generation != m.rules {
				t.Fatalf("gateway %d: got %d servers in use and generation %d, want %d and %d",
					i, len(g.Servers()), g.generation, len(want.Machines), m.rules)
			}
		}
	})
}
