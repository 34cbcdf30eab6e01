package catalog_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/catalog"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// patience bounds waits for what has no promised time.
const patience = 10 * time.Second

// directory is a directory whose answers a test decides.
type directory struct {
	mu sync.Mutex
	// whole are the answers to Snapshot.
	whole mustardsaddle.Update
	// failures are the errors that Changes returns, in order.
	failures []error
	calls    int
}

func (d *directory) Snapshot(_ context.Context, c mustardsaddle.Collection, _ bool) (mustardsaddle.Update, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c != mustardsaddle.RulesCollection {
		return mustardsaddle.Update{Whole: true, Revision: 1}, nil
	}
	return d.whole, nil
}

func (d *directory) Changes(ctx context.Context, c mustardsaddle.Collection, _ int64, _ time.Duration) (mustardsaddle.Update, error) {
	d.mu.Lock()
	if c == mustardsaddle.RulesCollection && len(d.failures) > 0 {
		err := d.failures[0]
		d.failures = d.failures[1:]
		d.calls++
		d.mu.Unlock()
		return mustardsaddle.Update{}, err
	}
	d.mu.Unlock()
	<-ctx.Done()
	return mustardsaddle.Update{}, ctx.Err()
}

func (d *directory) Enter(context.Context, mustardsaddle.VM) error { return nil }

func (d *directory) Remove(context.Context, string) error { return nil }

func rules(generation int64) *mustardsaddle.RulesText {
	return &mustardsaddle.RulesText{Generation: generation, Text: "Path=/rosters Service=Booking # Mei Lin: rosters"}
}

// TestHistoryLostAfterOutage answers the pattern of a watch that times out while the
// directory is deaf, and then finds its history gone.
func TestHistoryLostAfterOutage(t *testing.T) {
	d := &directory{whole: mustardsaddle.Update{Whole: true, Revision: 5, Rules: rules(1)}}
	d.failures = []error{
		code.Errorf(code.StoreUnavailable, "got nothing"),
		code.Errorf(code.StoreHistoryLost, "history is gone"),
	}
	inForce := make(chan int64, 4)
	c := catalog.New(catalog.Config{
		Directory: d,
		InForce: func(table *rule.Table) {
			if table.File.Generation == 1 {
				d.mu.Lock()
				d.whole = mustardsaddle.Update{Whole: true, Revision: 9, Rules: rules(2)}
				d.mu.Unlock()
			}
			inForce <- table.File.Generation
		},
		Servers: func(time.Time, string, []mustardsaddle.Server) {},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go c.Run(ctx, done)
	for _, want := range []int64{1, 2} {
		select {
		case got := <-inForce:
			if got != want {
				t.Errorf("got generation %d in force, want %d", got, want)
			}
		case <-time.After(patience):
			t.Errorf("got no generation %d, want it in force", want)
		}
	}
	cancel()
	<-done
}

// TestHistoryLostAgainAndAgain answers the pattern of a directory that keeps no history
// at all for a while: it is not called in a tight loop.
func TestHistoryLostAgainAndAgain(t *testing.T) {
	d := &directory{whole: mustardsaddle.Update{Whole: true, Revision: 5, Rules: rules(1)}}
	for range 10_000 {
		d.failures = append(d.failures, code.Errorf(code.StoreHistoryLost, "history is gone"))
	}
	c := catalog.New(catalog.Config{
		Directory: d, InForce: func(*rule.Table) {}, Servers: func(time.Time, string, []mustardsaddle.Server) {},
	})
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	done := make(chan struct{})
	go c.Run(ctx, done)
	<-done
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls > 20 {
		t.Errorf("got %d calls for changes in half a second, want pauses between them", d.calls)
	}
}

func TestMergeOf(t *testing.T) {
	for _, c := range []struct {
		name                   string
		known, after, revision int64
		whole                  bool
		want                   catalog.Merge
	}{
		{"whole of a later time", 5, 0, 9, true, catalog.Fits},
		{"whole of an earlier time", 9, 0, 5, true, catalog.Old},
		{"the same revision", 5, 5, 5, false, catalog.Old},
		{"the next change", 5, 5, 7, false, catalog.Fits},
		{"a change that overlaps", 6, 5, 7, false, catalog.Fits},
		{"a change after a gap", 5, 6, 7, false, catalog.Gap},
		{"a change where nothing is known", 0, 0, 7, false, catalog.Gap},
		{"a whole where nothing is known", 0, 0, 7, true, catalog.Fits},
	} {
		if got := catalog.MergeOf(c.known, c.after, c.revision, c.whole); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}

func TestPlan(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const stale = time.Second
	for _, c := range []struct {
		name  string
		state catalog.State
		want  catalog.Action
		pause time.Duration
	}{
		{"nothing known", catalog.State{Fresh: now, Stale: stale}, catalog.ReadWhole, 0},
		{"a reader", catalog.State{Revision: 3, Fresh: now, Reader: true, Stale: stale}, catalog.Watch, 0},
		{"fresh", catalog.State{Revision: 3, Fresh: now.Add(-300 * time.Millisecond), Stale: stale}, catalog.Sleep, 700 * time.Millisecond},
		{"stale", catalog.State{Revision: 3, Fresh: now.Add(-stale), Stale: stale}, catalog.ReadChanges, 0},
	} {
		got, pause := catalog.Plan(now, c.state)
		if got != c.want || pause != c.pause {
			t.Errorf("%s: got %v after %v, want %v after %v", c.name, got, pause, c.want, c.pause)
		}
	}
}

// spread records what a catalog passes on.
type spread struct {
	from    string
	updates []mustardsaddle.Update
}

func TestPeers(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	convey.Convey("Given a catalog that knows servers up to revision 5", t, func() {
		var passed []spread
		var servers []mustardsaddle.Server
		c := catalog.New(catalog.Config{
			Servers: func(_ time.Time, _ string, list []mustardsaddle.Server) { servers = list },
			Spread: func(from string, _ mustardsaddle.Collection, u mustardsaddle.Update) {
				passed = append(passed, spread{from: from, updates: []mustardsaddle.Update{u}})
			},
		})
		which := mustardsaddle.ServersCollection
		machine := mustardsaddle.Machine{Name: "booking-1", Service: "Booking", Address: "10.0.0.1:80", Incarnation: 1}
		const age = 500 * time.Millisecond
		whole := mustardsaddle.Update{Whole: true, Revision: 5, Age: age, Machines: []mustardsaddle.Machine{machine}}
		convey.So(c.Receive(now, "peer", which, whole), convey.ShouldBeFalse)
		convey.So(servers, convey.ShouldHaveLength, 1)
		convey.So(c.Known(now, which), convey.ShouldResemble, mustardsaddle.Known{Revision: 5, Age: age})
		convey.So(passed, convey.ShouldResemble, []spread{{
			from: "peer", updates: []mustardsaddle.Update{{After: 5, Revision: 5, Age: age}},
		}})
		passed = nil
		convey.Convey("The next change is applied and passed on once", func() {
			u := mustardsaddle.Update{After: 5, Revision: 6, Removed: []string{"booking-1"}}
			c.Receive(now, "peer", which, u)
			c.Receive(now, "other", which, u)
			convey.So(servers, convey.ShouldBeEmpty)
			convey.So(passed, convey.ShouldHaveLength, 1)
			convey.So(passed[0].from, convey.ShouldEqual, "peer")
		})
		convey.Convey("A change after a gap is not applied, and the peer is asked for the whole", func() {
			change := mustardsaddle.Update{After: 7, Revision: 8, Removed: []string{"booking-1"}}
			convey.So(c.Receive(now, "peer", which, change), convey.ShouldBeTrue)
			convey.So(servers, convey.ShouldHaveLength, 1)
			convey.So(passed, convey.ShouldBeEmpty)
			convey.So(c.Receive(now, "other", which, change), convey.ShouldBeFalse)
			convey.So(c.Heard(now, which, mustardsaddle.Known{Revision: 8}), convey.ShouldBeFalse)
			later := now.Add(time.Second)
			convey.So(c.Heard(later, which, mustardsaddle.Known{Revision: 8}), convey.ShouldBeTrue)
			convey.So(c.Heard(later, which, mustardsaddle.Known{Revision: 8}), convey.ShouldBeFalse)
		})
		convey.Convey("A peer that knows as much tells how fresh the knowledge is", func() {
			convey.So(c.Heard(now, which, mustardsaddle.Known{Revision: 5, Age: 300 * time.Millisecond}), convey.ShouldBeFalse)
			convey.So(c.Known(now, which), convey.ShouldResemble, mustardsaddle.Known{Revision: 5, Age: 300 * time.Millisecond})
		})
		convey.Convey("A word that nothing has changed is passed on while it is news", func() {
			later := now.Add(time.Second)
			c.Receive(later, "peer", which, mustardsaddle.Update{After: 5, Revision: 5})
			c.Receive(later, "other", which, mustardsaddle.Update{After: 5, Revision: 5})
			convey.So(passed, convey.ShouldHaveLength, 1)
			convey.So(c.Known(later, which).Age, convey.ShouldEqual, 0)
		})
	})
}

func TestServersAfterOutage(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := start.Add
	server := func(name string) mustardsaddle.Machine {
		return mustardsaddle.Machine{Name: name, Service: "Booking", Address: "10.0.0.1:80", Incarnation: 1}
	}
	convey.Convey("Given two servers", t, func() {
		c := catalog.NewCore(catalog.CoreConfig{Return: 2 * time.Second, Outage: 2 * time.Second})
		c.Contact(start, start)
		c.Apply(start, mustardsaddle.Update{Whole: true, Revision: 1, Machines: []mustardsaddle.Machine{server("a"), server("b")}})
		convey.Convey("One that is removed while the directory answers is gone at once", func() {
			c.Contact(at(time.Second), at(time.Second))
			changes := c.Apply(at(time.Second), mustardsaddle.Update{After: 1, Revision: 2, Removed: []string{"a"}})
			convey.So(changes, convey.ShouldHaveLength, 1)
			convey.So(c.Servers("Booking"), convey.ShouldHaveLength, 1)
		})
		convey.Convey("A long watch that is answered is no outage", func() {
			c.Contact(at(time.Second), at(9*time.Second))
			c.Apply(at(9*time.Second), mustardsaddle.Update{After: 1, Revision: 2, Removed: []string{"a"}})
			convey.So(c.Servers("Booking"), convey.ShouldHaveLength, 1)
		})
		convey.Convey("One that is missing after an outage is believed for a while, then gone", func() {
			c.Contact(at(8*time.Second), at(8*time.Second))
			c.Apply(at(8*time.Second), mustardsaddle.Update{Whole: true, Revision: 3, Machines: []mustardsaddle.Machine{server("b")}})
			convey.So(c.Servers("Booking"), convey.ShouldHaveLength, 2)
			convey.So(c.Machines(), convey.ShouldHaveLength, 1)
			c.Expire(at(9900 * time.Millisecond))
			convey.So(c.Servers("Booking"), convey.ShouldHaveLength, 2)
			c.Expire(at(10 * time.Second))
			convey.So(c.Servers("Booking"), convey.ShouldHaveLength, 1)
			convey.So(c.Missing(), convey.ShouldBeFalse)
		})
		convey.Convey("One that comes back in time stays", func() {
			c.Contact(at(8*time.Second), at(8*time.Second))
			c.Apply(at(8*time.Second), mustardsaddle.Update{After: 1, Revision: 3, Removed: []string{"a"}})
			c.Apply(at(9*time.Second), mustardsaddle.Update{After: 3, Revision: 4, Machines: []mustardsaddle.Machine{server("a")}})
			c.Expire(at(20 * time.Second))
			convey.So(c.Servers("Booking"), convey.ShouldHaveLength, 2)
		})
	})
}

// TestReadersSpareTheDirectory answers the pattern of a directory that was down for all
// and has lost its history: what the first gateway reads then keeps the others from
// reading it too.
func TestReadersSpareTheDirectory(t *testing.T) {
	convey.Convey("Given a gateway that has read a whole collection, and a peer that knew as much", t, func() {
		d := &directory{whole: mustardsaddle.Update{Whole: true, Revision: 5, Rules: rules(1)}}
		told := make(chan mustardsaddle.Update, 8)
		c := catalog.New(catalog.Config{
			Directory: d, InForce: func(*rule.Table) {}, Servers: func(time.Time, string, []mustardsaddle.Server) {},
			Spread: func(_ string, which mustardsaddle.Collection, u mustardsaddle.Update) {
				if which == mustardsaddle.RulesCollection {
					told <- u
				}
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go c.Run(ctx, done)
		var confirmation mustardsaddle.Update
		select {
		case confirmation = <-told:
		case <-time.After(patience):
		}
		cancel()
		<-done
		convey.So(confirmation, convey.ShouldResemble, mustardsaddle.Update{After: 5, Revision: 5})

		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		peer := catalog.New(catalog.Config{InForce: func(*rule.Table) {}})
		which := mustardsaddle.RulesCollection
		peer.Receive(now, "reader", which, mustardsaddle.Update{Whole: true, Revision: 5, Rules: rules(1)})
		convey.Convey("The peer is as fresh as the gateway", func() {
			later := now.Add(time.Minute)
			convey.So(peer.Receive(later, "reader", which, confirmation), convey.ShouldBeFalse)
			convey.So(peer.Known(later, which), convey.ShouldResemble, mustardsaddle.Known{Revision: 5})
		})
		convey.Convey("What it reads later is passed on as the changes since, with the rules", func() {
			var passed []mustardsaddle.Update
			next := catalog.New(catalog.Config{
				Servers: func(time.Time, string, []mustardsaddle.Server) {},
				Spread: func(_ string, _ mustardsaddle.Collection, u mustardsaddle.Update) {
					passed = append(passed, u)
				},
			})
			machine := func(name, address string) mustardsaddle.Machine {
				return mustardsaddle.Machine{Name: name, Service: "Booking", Address: address, Incarnation: 1}
			}
			for _, u := range []mustardsaddle.Update{
				{Revision: 5, Machines: []mustardsaddle.Machine{machine("a", "10.0.0.1:80"), machine("b", "10.0.0.2:80"), machine("c", "10.0.0.3:80")}},
				{Revision: 9, Machines: []mustardsaddle.Machine{machine("a", "10.0.0.1:80"), machine("b", "10.0.0.9:80"), machine("d", "10.0.0.4:80")}},
			} {
				u.Whole = true
				next.Receive(now, "reader", mustardsaddle.ServersCollection, u)
			}
			convey.So(passed, convey.ShouldResemble, []mustardsaddle.Update{
				{After: 5, Revision: 5},
				{
					After: 5, Revision: 9, Removed: []string{"c"},
					Machines: []mustardsaddle.Machine{machine("b", "10.0.0.9:80"), machine("d", "10.0.0.4:80")},
				},
			})
		})
		convey.Convey("A peer that knows less asks for the whole", func() {
			confirmation.After, confirmation.Revision = 9, 9
			convey.So(peer.Receive(now, "reader", which, confirmation), convey.ShouldBeTrue)
		})
	})
}

// TestPeerTellsOfMissingServers answers the pattern of entries that lapse while the
// directory is away: what a peer reads afterwards does not take the servers away at once.
func TestPeerTellsOfMissingServers(t *testing.T) {
	convey.Convey("Given a server that a peer no longer finds after an outage", t, func() {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var servers []mustardsaddle.Server
		c := catalog.New(catalog.Config{
			Core:    catalog.CoreConfig{Return: 2 * time.Second, Outage: 2 * time.Second},
			Servers: func(_ time.Time, _ string, list []mustardsaddle.Server) { servers = list },
		})
		which := mustardsaddle.ServersCollection
		machine := mustardsaddle.Machine{Name: "booking-1", Service: "Booking", Address: "10.0.0.1:80", Incarnation: 1}
		c.Receive(now, "peer", which, mustardsaddle.Update{Whole: true, Revision: 5, Machines: []mustardsaddle.Machine{machine}})
		removal := mustardsaddle.Update{After: 5, Revision: 6, Removed: []string{machine.Name}}
		convey.Convey("It is still used", func() {
			c.Receive(now.Add(8*time.Second), "peer", which, removal)
			convey.So(servers, convey.ShouldHaveLength, 1)
		})
		convey.Convey("Without an outage it is gone", func() {
			c.Receive(now.Add(time.Second), "peer", which, removal)
			convey.So(servers, convey.ShouldBeEmpty)
		})
	})
}
