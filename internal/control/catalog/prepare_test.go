package catalog_test

import (
	"context"
	"slices"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/catalog"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// maxSliceLines is the largest number of new lines that a gateway may handle without giving way.
const maxSliceLines = 64

// pausing is a catalog with the first version of the rules in force, and what it does later.
type pausing struct {
	*catalog.Catalog
	// onPause is called in each pause with the number of pauses before it.
	onPause func(pauses int)
	pauses  int
	// inForce are the generations in the order in which they were put in force.
	inForce []int64
	// servers is how often servers were reported.
	servers int
}

func newPausing(t *testing.T, v version, d mustardsaddle.Directory) *pausing {
	t.Helper()
	p := &pausing{onPause: func(int) {}}
	p.Catalog = catalog.New(catalog.Config{
		Stale: time.Hour, Directory: d,
		InForce: func(table *rule.Table) { p.inForce = append(p.inForce, table.File.Generation) },
		Servers: func(time.Time, string, []mustardsaddle.Server) { p.servers++ },
		Pause: func(time.Duration) {
			p.onPause(p.pauses)
			p.pauses++
		},
	})
	now := time.Now()
	u := mustardsaddle.Update{Whole: true, Position: revision(1), Rules: &v.before}
	if err := p.ReceiveResponse(now, now, mustardsaddle.RulesCollection, u); err != nil {
		t.Fatal(err)
	}
	p.pauses = 0
	return p
}

// checkInForce fails unless the given generations were put in force, the last of them is still, and the
// rules are complete up to the revision of this number.
func (p *pausing) checkInForce(t *testing.T, want ...int64) {
	t.Helper()
	last := want[len(want)-1]
	state := p.Known(time.Now(), mustardsaddle.RulesCollection)
	if !slices.Equal(p.inForce, want) || state.Generation != last || state.Position != revision(last) {
		t.Errorf("got generations %v in force, the last one at %+v, want %v", p.inForce, state, want)
	}
}

// TestCallsDoNotWaitBehindVersion guards against calls and updates of servers that wait until a gateway has
// parsed and compiled all lines of a version.
func TestCallsDoNotWaitBehindVersion(t *testing.T) {
	for _, tt := range []struct {
		name    string
		receive func(testing.TB, *catalog.Catalog, version)
	}{{"from the directory", receiveFromDirectory}, {"from a peer", receiveFromPeer}} {
		t.Run(tt.name, func(t *testing.T) {
			v := largeVersion(t, addedRoutes)
			p := newPausing(t, v, nil)
			p.onPause = func(pauses int) {
				if state := p.Known(time.Now(), mustardsaddle.RulesCollection); state.Generation != 1 {
					t.Errorf("got generation %d in force in a pause, want 1", state.Generation)
				}
				m := mustardsaddle.Machine{Name: "a", Service: "Booking", Address: "10.0.0.7:8080", Incarnation: int64(pauses + 1)}
				u := mustardsaddle.Update{Whole: true, Position: revision(m.Incarnation), Machines: []mustardsaddle.Machine{m}}
				p.Receive(time.Now(), "peer", mustardsaddle.ServersCollection, u)
			}
			tt.receive(t, p.Catalog, v)
			p.checkInForce(t, 1, 2)
			if want := addedRoutes / maxSliceLines; p.pauses < want {
				t.Errorf("got %d pauses for %d lines, want at least %d", p.pauses, addedRoutes, want)
			}
			if p.servers != p.pauses {
				t.Errorf("got %d reports of servers in %d pauses, want one in each", p.servers, p.pauses)
			}
		})
	}
}

// TestVersionsFollowEachOther guards against versions that arrive while another one is prepared being lost, or
// put in force before it.
func TestVersionsFollowEachOther(t *testing.T) {
	v := largeVersion(t, addedRoutes)
	next := newVersion(t, routeLines(addedRoutes, addedRoutes), routeLines(addedRoutes, addedRoutes-1))
	next.change.From, next.change.To = 2, 3
	next.after.Generation = 3
	for _, tt := range []struct {
		name   string
		update mustardsaddle.Update
	}{
		{"as a change", mustardsaddle.Update{After: revision(2), Position: revision(3), RuleChange: &next.change}},
		{"as a text", mustardsaddle.Update{Whole: true, Position: revision(3), Rules: &next.after}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := newPausing(t, v, nil)
			done := make(chan struct{})
			started := false
			p.onPause = func(pauses int) {
				if pauses > 0 {
					return
				}
				started = true
				go func() {
					defer close(done)
					if p.Receive(time.Now(), "other peer", mustardsaddle.RulesCollection, tt.update) {
						t.Error("got a request for a snapshot, want none")
					}
				}()
			}
			receiveFromPeer(t, p.Catalog, v)
			if !started {
				t.Fatal("got no pause, want some")
			}
			<-done
			if slices.Contains(p.inForce, 2) || tt.update.RuleChange != nil {
				p.checkInForce(t, 1, 2, 3)
			} else {
				p.checkInForce(t, 1, 3)
			}
		})
	}
}

// TestStopEndsPreparation guards against a gateway that stops only after it has prepared a version.
func TestStopEndsPreparation(t *testing.T) {
	v := largeVersion(t, addedRoutes)
	p := newPausing(t, v, &fakeDirectory{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	p.onPause = func(int) {
		cancel()
		<-done
	}
	go p.Run(ctx, done)
	receiveFromPeer(t, p.Catalog, v)
	p.checkInForce(t, 1)
	if p.pauses != 1 {
		t.Errorf("got %d pauses, want 1", p.pauses)
	}
}
