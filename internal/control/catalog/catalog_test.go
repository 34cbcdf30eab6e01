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

// waitLimit bounds waits for conditions that have no specified time limit.
const waitLimit = 10 * time.Second

// fakeDirectory is a directory with responses set by the test.
type fakeDirectory struct {
	mu sync.Mutex
	// snapshot is the response to Snapshot for the rules collection.
	snapshot mustardsaddle.Update
	// failures are the errors that Changes returns for the rules collection, in order.
	failures []error
	calls    int
}

func (d *fakeDirectory) Snapshot(_ context.Context, c mustardsaddle.Collection, _ bool) (mustardsaddle.Update, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if c != mustardsaddle.RulesCollection {
		return mustardsaddle.Update{Whole: true, Position: revision(1)}, nil
	}
	return d.snapshot, nil
}

func (d *fakeDirectory) Changes(ctx context.Context, c mustardsaddle.Collection, _ mustardsaddle.Position, _ time.Duration) (mustardsaddle.Update, error) {
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

func (d *fakeDirectory) Register(context.Context, mustardsaddle.VM) error { return nil }

func (d *fakeDirectory) Remove(context.Context, string) error { return nil }

func rules(generation int64) *mustardsaddle.RulesText {
	return &mustardsaddle.RulesText{Generation: generation, Text: "Path=/rosters Service=Booking # Mei Lin: rosters"}
}

// TestHistoryLostAfterOutage guards against a catalog that never reads a snapshot
// again, if its watch times out in a directory outage and the directory has discarded
// its history when it responds again.
func TestHistoryLostAfterOutage(t *testing.T) {
	d := &fakeDirectory{snapshot: mustardsaddle.Update{Whole: true, Position: revision(5), Rules: rules(1)}}
	d.failures = []error{
		code.Errorf(code.StoreUnavailable, "no response"),
		code.Errorf(code.StoreHistoryLost, "history was discarded"),
	}
	inForce := make(chan int64, 4)
	c := catalog.New(catalog.Config{
		Directory: d,
		InForce: func(table *rule.Table) {
			if table.File.Generation == 1 {
				d.mu.Lock()
				d.snapshot = mustardsaddle.Update{Whole: true, Position: revision(9), Rules: rules(2)}
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
		case <-time.After(waitLimit):
			t.Errorf("timed out waiting for generation %d to be in force", want)
		}
	}
	cancel()
	<-done
}

// TestHistoryLostRepeatedly guards against calls in a tight loop while the
// directory retains no history, so that every request for changes fails.
func TestHistoryLostRepeatedly(t *testing.T) {
	d := &fakeDirectory{snapshot: mustardsaddle.Update{Whole: true, Position: revision(5), Rules: rules(1)}}
	for range 10_000 {
		d.failures = append(d.failures, code.Errorf(code.StoreHistoryLost, "history was discarded"))
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
		t.Errorf("got %d calls of Changes in half a second, want at most 20", d.calls)
	}
}

// revision returns a position of a directory that states no era.
func revision(n int64) mustardsaddle.Position {
	return mustardsaddle.Position{Revision: n}
}

func TestCompare(t *testing.T) {
	at := func(era, n int64) mustardsaddle.Position { return mustardsaddle.Position{Era: era, Revision: n} }
	none := mustardsaddle.Position{}
	for _, c := range []struct {
		name                string
		known, after, until mustardsaddle.Position
		whole               bool
		want                catalog.Order
	}{
		{"newer snapshot", at(0, 5), none, at(0, 9), true, catalog.Applicable},
		{"older snapshot", at(0, 9), none, at(0, 5), true, catalog.Outdated},
		{"same revision", at(0, 5), at(0, 5), at(0, 5), false, catalog.Outdated},
		{"next change", at(0, 5), at(0, 5), at(0, 7), false, catalog.Applicable},
		{"overlapping change", at(0, 6), at(0, 5), at(0, 7), false, catalog.Applicable},
		{"change after a gap", at(0, 5), at(0, 6), at(0, 7), false, catalog.Gap},
		{"change without a known revision", none, none, at(0, 7), false, catalog.Gap},
		{"snapshot without a known revision", none, none, at(0, 7), true, catalog.Applicable},
		{"snapshot of a newer era with a lower revision", at(1, 9), none, at(2, 4), true, catalog.Applicable},
		{"snapshot of an older era with a higher revision", at(2, 4), none, at(1, 9), true, catalog.Outdated},
		{"change of an older era with a higher revision", at(2, 4), at(1, 4), at(1, 9), false, catalog.Outdated},
		{"change within a newer era that fits by number alone", at(1, 5), at(2, 5), at(2, 7), false, catalog.Gap},
		{"change to a newer era from the known position", at(1, 9), at(1, 9), at(2, 4), false, catalog.Applicable},
		{"change to a newer era from a lower position", at(1, 9), at(1, 8), at(2, 4), false, catalog.Gap},
		{"change to a newer era from a higher position", at(1, 7), at(1, 8), at(2, 4), false, catalog.Gap},
		{"change across two eras", at(2, 9), at(1, 9), at(3, 4), false, catalog.Gap},
	} {
		got := catalog.Compare(c.known, mustardsaddle.Update{After: c.after, Position: c.until, Whole: c.whole})
		if got != c.want {
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
		{"no known revision", catalog.State{FreshAt: now, StaleAge: stale}, catalog.ReadWhole, 0},
		{"nothing known while peers may tell", catalog.State{ReadFrom: now.Add(time.Second), StaleAge: stale}, catalog.Sleep, time.Second},
		{"nothing known and peers told nothing", catalog.State{ReadFrom: now, StaleAge: stale}, catalog.ReadWhole, 0},
		{"reader that knows nothing", catalog.State{ReadFrom: now.Add(time.Second), Reader: true, StaleAge: stale}, catalog.ReadWhole, 0},
		{"reader that has just read changes", catalog.State{Position: revision(3), FreshAt: now, Reader: true, ChangedAt: now.Add(-50 * time.Millisecond), StaleAge: stale}, catalog.Sleep, 100 * time.Millisecond},
		{"reader that read changes a while ago", catalog.State{Position: revision(3), FreshAt: now, Reader: true, ChangedAt: now.Add(-150 * time.Millisecond), StaleAge: stale}, catalog.Watch, 0},
		{"reader", catalog.State{Position: revision(3), FreshAt: now, Reader: true, StaleAge: stale}, catalog.Watch, 0},
		{"fresh", catalog.State{Position: revision(3), FreshAt: now.Add(-300 * time.Millisecond), StaleAge: stale}, catalog.Sleep, 700 * time.Millisecond},
		{"stale", catalog.State{Position: revision(3), FreshAt: now.Add(-stale), StaleAge: stale}, catalog.ReadChanges, 0},
		{"reader after a restore", catalog.State{Position: revision(3), Era: 1, FreshAt: now, Reader: true, StaleAge: stale}, catalog.ReadWhole, 0},
		{"fresh after a restore", catalog.State{Position: revision(3), Era: 1, FreshAt: now, StaleAge: stale}, catalog.Sleep, stale},
		{"stale after a restore", catalog.State{Position: revision(3), Era: 1, FreshAt: now.Add(-stale), StaleAge: stale}, catalog.ReadWhole, 0},
	} {
		got, pause := catalog.Plan(now, c.state)
		if got != c.want || pause != c.pause {
			t.Errorf("%s: got %v after %v, want %v after %v", c.name, got, pause, c.want, c.pause)
		}
	}
}

// undigested returns a state of a collection without its digest, which
// TestSameContentAtNewerPosition checks.
func undigested(s mustardsaddle.CollectionState) mustardsaddle.CollectionState {
	s.Digest = 0
	return s
}

// forwarded is an update passed to Config.Forward.
type forwarded struct {
	from    string
	updates []mustardsaddle.Update
}

func TestPeers(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	convey.Convey("Given a catalog that knows servers up to revision 5", t, func() {
		var passed []forwarded
		var servers []mustardsaddle.Server
		c := catalog.New(catalog.Config{
			Servers: func(_ time.Time, _ string, list []mustardsaddle.Server) { servers = list },
			Forward: func(from string, _ mustardsaddle.Collection, u mustardsaddle.Update) {
				u.Digest = 0
				passed = append(passed, forwarded{from: from, updates: []mustardsaddle.Update{u}})
			},
		})
		collection := mustardsaddle.ServersCollection
		machine := mustardsaddle.Machine{Name: "booking-1", Service: "Booking", Address: "10.0.0.1:80", Incarnation: 1}
		const age = 500 * time.Millisecond
		whole := mustardsaddle.Update{Whole: true, Position: revision(5), Age: age, Machines: []mustardsaddle.Machine{machine}}
		convey.So(c.Receive(now, "peer", collection, whole), convey.ShouldBeFalse)
		convey.So(servers, convey.ShouldHaveLength, 1)
		convey.So(undigested(c.Known(now, collection)), convey.ShouldResemble, mustardsaddle.CollectionState{Position: revision(5), Age: age})
		convey.So(passed, convey.ShouldResemble, []forwarded{{
			from: "peer", updates: []mustardsaddle.Update{{After: revision(5), Position: revision(5), Age: age}},
		}})
		passed = nil
		convey.Convey("The next change is applied and forwarded once", func() {
			u := mustardsaddle.Update{After: revision(5), Position: revision(6), Removed: []string{"booking-1"}}
			c.Receive(now, "peer", collection, u)
			c.Receive(now, "other", collection, u)
			convey.So(servers, convey.ShouldBeEmpty)
			convey.So(passed, convey.ShouldHaveLength, 1)
			convey.So(passed[0].from, convey.ShouldEqual, "peer")
		})
		convey.Convey("A change after a gap is not applied, and a snapshot is requested from the peer", func() {
			change := mustardsaddle.Update{After: revision(7), Position: revision(8), Removed: []string{"booking-1"}}
			convey.So(c.Receive(now, "peer", collection, change), convey.ShouldBeTrue)
			convey.So(servers, convey.ShouldHaveLength, 1)
			convey.So(passed, convey.ShouldBeEmpty)
			convey.So(c.Receive(now, "other", collection, change), convey.ShouldBeFalse)
			convey.So(c.ReceiveState(now, collection, mustardsaddle.CollectionState{Position: revision(8)}), convey.ShouldBeFalse)
			later := now.Add(time.Second)
			convey.So(c.ReceiveState(later, collection, mustardsaddle.CollectionState{Position: revision(8)}), convey.ShouldBeTrue)
			convey.So(c.ReceiveState(later, collection, mustardsaddle.CollectionState{Position: revision(8)}), convey.ShouldBeFalse)
		})
		convey.Convey("A peer with the same revision and a lower age makes the collection fresher", func() {
			convey.So(c.ReceiveState(now, collection, mustardsaddle.CollectionState{Position: revision(5), Age: 300 * time.Millisecond}), convey.ShouldBeFalse)
			convey.So(undigested(c.Known(now, collection)), convey.ShouldResemble, mustardsaddle.CollectionState{Position: revision(5), Age: 300 * time.Millisecond})
		})
		convey.Convey("A confirmation of the known revision is forwarded only if it is newer", func() {
			later := now.Add(time.Second)
			u := mustardsaddle.Update{After: revision(5), Position: revision(5), Reading: mustardsaddle.Reading{Gateway: "reader", Seq: 1}}
			c.Receive(later, "peer", collection, u)
			c.Receive(later, "other", collection, u)
			convey.So(passed, convey.ShouldHaveLength, 1)
			convey.So(c.Known(later, collection).Age, convey.ShouldEqual, 0)
		})
		convey.Convey("One that does not say from which reading it stems makes the collection fresher and is not forwarded", func() {
			later := now.Add(time.Second)
			c.Receive(later, "peer", collection, mustardsaddle.Update{After: revision(5), Position: revision(5)})
			convey.So(passed, convey.ShouldBeEmpty)
			convey.So(c.Known(later, collection).Age, convey.ShouldEqual, 0)
		})
	})
}

// TestServersAfterOutage guards against dropping servers whose entries expired during
// a directory outage only because they could not be renewed, and against retaining
// servers that were removed while the directory responded.
func TestServersAfterOutage(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := start.Add
	server := func(name string) mustardsaddle.Machine {
		return mustardsaddle.Machine{Name: name, Service: "Booking", Address: "10.0.0.1:80", Incarnation: 1}
	}
	convey.Convey("Given two servers", t, func() {
		c := catalog.NewCore(catalog.CoreConfig{RetainMissing: 2 * time.Second, Outage: 2 * time.Second})
		c.Contact(start, start)
		c.Apply(start, mustardsaddle.Update{Whole: true, Position: revision(1), Machines: []mustardsaddle.Machine{server("a"), server("b")}})
		convey.Convey("A server removed while the directory responds is dropped at once", func() {
			c.Contact(at(time.Second), at(time.Second))
			changes := c.Apply(at(time.Second), mustardsaddle.Update{After: revision(1), Position: revision(2), Removed: []string{"a"}})
			convey.So(changes, convey.ShouldHaveLength, 1)
			convey.So(c.Servers("Booking"), convey.ShouldHaveLength, 1)
		})
		convey.Convey("A long watch that gets a response does not count as an outage", func() {
			c.Contact(at(time.Second), at(9*time.Second))
			c.Apply(at(9*time.Second), mustardsaddle.Update{After: revision(1), Position: revision(2), Removed: []string{"a"}})
			convey.So(c.Servers("Booking"), convey.ShouldHaveLength, 1)
		})
		convey.Convey("A server missing after an outage is retained for the configured time, then dropped", func() {
			c.Contact(at(8*time.Second), at(8*time.Second))
			c.Apply(at(8*time.Second), mustardsaddle.Update{Whole: true, Position: revision(3), Machines: []mustardsaddle.Machine{server("b")}})
			convey.So(c.Servers("Booking"), convey.ShouldHaveLength, 2)
			convey.So(c.Machines(), convey.ShouldHaveLength, 1)
			c.Expire(at(9900*time.Millisecond), at(9900*time.Millisecond))
			convey.So(c.Servers("Booking"), convey.ShouldHaveLength, 2)
			c.Expire(at(10*time.Second), at(10*time.Second))
			convey.So(c.Servers("Booking"), convey.ShouldHaveLength, 1)
			convey.So(c.HasPending(), convey.ShouldBeFalse)
		})
		convey.Convey("A server that is listed again within that time is kept", func() {
			c.Contact(at(8*time.Second), at(8*time.Second))
			c.Apply(at(8*time.Second), mustardsaddle.Update{After: revision(1), Position: revision(3), Removed: []string{"a"}})
			c.Apply(at(9*time.Second), mustardsaddle.Update{After: revision(3), Position: revision(4), Machines: []mustardsaddle.Machine{server("a")}})
			c.Expire(at(20*time.Second), at(20*time.Second))
			convey.So(c.Servers("Booking"), convey.ShouldHaveLength, 2)
		})
	})
}

// TestReadersLimitDirectoryReads guards against every gateway reading a snapshot after
// a directory outage in which the history was lost: the snapshot that the first
// gateway reads and forwards must suffice for the others.
func TestReadersLimitDirectoryReads(t *testing.T) {
	convey.Convey("Given a gateway that has read a snapshot, and a peer with the same revision", t, func() {
		d := &fakeDirectory{snapshot: mustardsaddle.Update{Whole: true, Position: revision(5), Rules: rules(1)}}
		rulesUpdates := make(chan mustardsaddle.Update, 8)
		c := catalog.New(catalog.Config{
			Directory: d, InForce: func(*rule.Table) {}, Servers: func(time.Time, string, []mustardsaddle.Server) {},
			Forward: func(_ string, collection mustardsaddle.Collection, u mustardsaddle.Update) {
				if collection == mustardsaddle.RulesCollection {
					rulesUpdates <- u
				}
			},
		})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go c.Run(ctx, done)
		var confirmation mustardsaddle.Update
		select {
		case confirmation = <-rulesUpdates:
		case <-time.After(waitLimit):
		}
		cancel()
		<-done
		convey.So(confirmation.Digest, convey.ShouldNotEqual, 0)
		confirmation.Digest = 0
		convey.So(confirmation, convey.ShouldResemble, mustardsaddle.Update{After: revision(5), Position: revision(5)})

		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		peer := catalog.New(catalog.Config{InForce: func(*rule.Table) {}})
		collection := mustardsaddle.RulesCollection
		peer.Receive(now, "reader", collection, mustardsaddle.Update{Whole: true, Position: revision(5), Rules: rules(1)})
		convey.Convey("The confirmation makes the peer as fresh as the gateway", func() {
			later := now.Add(time.Minute)
			convey.So(peer.Receive(later, "reader", collection, confirmation), convey.ShouldBeFalse)
			convey.So(undigested(peer.Known(later, collection)), convey.ShouldResemble, mustardsaddle.CollectionState{Position: revision(5), Generation: 1})
		})
		convey.Convey("A later snapshot is forwarded as the changes since the known revision", func() {
			var passed []mustardsaddle.Update
			next := catalog.New(catalog.Config{
				Servers: func(time.Time, string, []mustardsaddle.Server) {},
				Forward: func(_ string, _ mustardsaddle.Collection, u mustardsaddle.Update) {
					u.Digest = 0
					passed = append(passed, u)
				},
			})
			machine := func(name, address string) mustardsaddle.Machine {
				return mustardsaddle.Machine{Name: name, Service: "Booking", Address: address, Incarnation: 1}
			}
			for _, u := range []mustardsaddle.Update{
				{Position: revision(5), Machines: []mustardsaddle.Machine{machine("a", "10.0.0.1:80"), machine("b", "10.0.0.2:80"), machine("c", "10.0.0.3:80")}},
				{Position: revision(9), Machines: []mustardsaddle.Machine{machine("a", "10.0.0.1:80"), machine("b", "10.0.0.9:80"), machine("d", "10.0.0.4:80")}},
			} {
				u.Whole = true
				next.Receive(now, "reader", mustardsaddle.ServersCollection, u)
			}
			convey.So(passed, convey.ShouldResemble, []mustardsaddle.Update{
				{After: revision(5), Position: revision(5)},
				{
					After: revision(5), Position: revision(9), Removed: []string{"c"},
					Machines: []mustardsaddle.Machine{machine("b", "10.0.0.9:80"), machine("d", "10.0.0.4:80")},
				},
			})
		})
		convey.Convey("A peer with an older revision requests a snapshot", func() {
			confirmation.After, confirmation.Position = revision(9), revision(9)
			convey.So(peer.Receive(now, "reader", collection, confirmation), convey.ShouldBeTrue)
		})
	})
}

// TestPeerForwardsRemovalsAfterOutage guards against the immediate removal of servers
// whose directory entries expired during an outage, when a peer reads the directory
// first and forwards the removals.
func TestPeerForwardsRemovalsAfterOutage(t *testing.T) {
	convey.Convey("Given a server whose removal is received from a peer", t, func() {
		now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		var servers []mustardsaddle.Server
		c := catalog.New(catalog.Config{
			Core:    catalog.CoreConfig{RetainMissing: 2 * time.Second, Outage: 2 * time.Second},
			Servers: func(_ time.Time, _ string, list []mustardsaddle.Server) { servers = list },
		})
		collection := mustardsaddle.ServersCollection
		machine := mustardsaddle.Machine{Name: "booking-1", Service: "Booking", Address: "10.0.0.1:80", Incarnation: 1}
		c.Receive(now, "peer", collection, mustardsaddle.Update{Whole: true, Position: revision(5), Machines: []mustardsaddle.Machine{machine}})
		removal := mustardsaddle.Update{After: revision(5), Position: revision(6), Removed: []string{machine.Name}}
		convey.Convey("After an outage the server is retained", func() {
			c.Receive(now.Add(8*time.Second), "peer", collection, removal)
			convey.So(servers, convey.ShouldHaveLength, 1)
		})
		convey.Convey("Without an outage the server is dropped at once", func() {
			c.Receive(now.Add(time.Second), "peer", collection, removal)
			convey.So(servers, convey.ShouldBeEmpty)
		})
	})
}
