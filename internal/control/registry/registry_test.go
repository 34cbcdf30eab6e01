package registry_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/control/registry"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
	"mustardsaddle.example/mustardsaddle/internal/control/store"
	"mustardsaddle.example/mustardsaddle/internal/standin/platform"
)

// propagationLimit is the specified time within which an accepted change must be in
// force on every gateway.
const propagationLimit = 5 * time.Second

// waitLimit bounds waits for conditions that have no specified time limit.
const waitLimit = 30 * time.Second

// testFleet is a fleet of registries that share one platform and are linked to each
// other.
type testFleet struct {
	platform *platform.Platform
	members  []*member
}

type member struct {
	*registry.Registry
	client *store.Client
	// inbox holds the changes from peers; an isolated member discards them.
	inbox chan rule.Change

	mu          sync.Mutex
	generations []int64
}

// generation returns the generation in force, or -1 if it ever decreased.
func (m *member) generation() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	last := int64(0)
	for _, g := range m.generations {
		if g < last {
			return -1
		}
		last = g
	}
	return last
}

// fleetOptions configures a testFleet.
type fleetOptions struct {
	size int
	// watchers is the number of members that hold watches.
	watchers int
	// isolated reports whether a member receives nothing from its peers.
	isolated func(i int) bool
	// stalled reports whether the watches of a member never return.
	stalled func(i int) bool
	fault   platform.Fault
	// sameRank gives all members rank 0, so that they try to accept at the same time.
	sameRank bool
	// snapshot is passed to each member at its start, as if received from a peer.
	snapshot string
}

// stalledWatchStore is a store whose watches never return a change.
type stalledWatchStore struct {
	mustardsaddle.Store
}

// Watch blocks until the context ends.
func (stalledWatchStore) Watch(ctx context.Context, _ string, _ int64) (mustardsaddle.Object, error) {
	<-ctx.Done()
	return mustardsaddle.Object{}, ctx.Err()
}

// startFleet runs a fleet until the test ends.
func startFleet(t *testing.T, s fleetOptions) *testFleet {
	g := &testFleet{platform: platform.New(platform.Config{})}
	g.platform.SetFault(s.fault)
	server := httptest.NewServer(g.platform.Handler())
	ctx, cancel := context.WithCancel(context.Background())
	var done []chan struct{}
	for i := range s.size {
		m := &member{
			client: store.New(store.Config{URL: server.URL, Fleet: s.size, Seed: uint64(i)}),
			inbox:  make(chan rule.Change, 100),
		}
		var objects mustardsaddle.Store = m.client
		if s.stalled != nil && s.stalled(i) {
			objects = stalledWatchStore{Store: m.client}
		}
		m.Registry = registry.New(registry.Config{
			Name: fmt.Sprintf("gateway-%02d", i), Store: objects, StatusStore: m.client.WithUse(store.Status), Seed: uint64(i),
			Rank: func() int {
				if s.sameRank {
					return 0
				}
				return i
			},
			Fleet: func() int { return s.size },
			Watch: func() bool { return i < s.watchers },
			InForce: func(table *rule.Table) {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.generations = append(m.generations, table.File.Generation)
			},
			Broadcast: g.broadcast(i),
			Live:      g.live,
		})
		g.members = append(g.members, m)
	}
	for i, m := range g.members {
		if s.snapshot != "" {
			_, _ = m.ReceiveSnapshot(time.Now(), s.snapshot)
		}
		linkDone, runDone := make(chan struct{}), make(chan struct{})
		go m.link(ctx, linkDone, s.isolated != nil && s.isolated(i))
		go m.Run(ctx, runDone)
		done = append(done, linkDone, runDone)
	}
	t.Cleanup(func() {
		cancel()
		for _, end := range done {
			<-end
		}
		for _, m := range g.members {
			m.client.Close()
		}
		server.Close()
	})
	return g
}

// live returns all members with their generations, as announced over the links.
func (g *testFleet) live() []rule.VM {
	var vms []rule.VM
	for i, m := range g.members {
		vms = append(vms, rule.VM{Name: fmt.Sprintf("gateway-%02d", i), Generation: m.generation()})
	}
	return vms
}

// broadcast returns a function that sends a change to the next three members.
func (g *testFleet) broadcast(from int) func(rule.Change) {
	return func(c rule.Change) {
		for hop := 1; hop <= 3; hop++ {
			select {
			case g.members[(from+hop)%len(g.members)].inbox <- c:
			default:
			}
		}
	}
}

func (m *member) link(ctx context.Context, done chan<- struct{}, isolated bool) {
	defer close(done)
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-m.inbox:
			if !isolated {
				m.Receive(time.Now(), c)
			}
		}
	}
}

// submit submits the newest accepted rules with lines added.
func (g *testFleet) submit(lines ...string) {
	base := rule.File{}
	if history := g.platform.History(registry.AcceptedKey); len(history) > 0 {
		a, _ := rule.ParseAccepted(string(history[len(history)-1]))
		base = a.File
	}
	text := base.Format()
	for _, line := range lines {
		text += line + "\n"
	}
	g.platform.Put(registry.SubmittedKey, []byte(text), -1)
}

// await waits until a condition holds or the limit has passed, and returns the time
// taken.
func await(limit time.Duration, condition func() bool) time.Duration {
	started := time.Now()
	for !condition() && time.Since(started) < limit {
		time.Sleep(5 * time.Millisecond)
	}
	return time.Since(started)
}

// inForceEverywhere returns a condition that holds while every member has the
// generation in force.
func (g *testFleet) inForceEverywhere(generation int64) func() bool {
	return func() bool {
		for _, m := range g.members {
			if m.generation() != generation {
				return false
			}
		}
		return true
	}
}

func ruleLine(i int) string {
	return fmt.Sprintf("Path=/r%d Service=S # Tan: rule %d", i, i)
}

func TestChangeIsInForceEverywhere(t *testing.T) {
	all := func(int) bool { return true }
	only := func(n int) func(int) bool { return func(i int) bool { return i == n } }
	for _, test := range []struct {
		name    string
		options fleetOptions
		// fault begins when the first rules are in force.
		fault platform.Fault
	}{
		{"with watches and links", fleetOptions{size: 17, watchers: 6}, platform.Fault{}},
		{"one watch stalled and one member isolated", fleetOptions{size: 17, watchers: 2, stalled: only(0), isolated: only(9)}, platform.Fault{}},
		{"all watches stalled and all members isolated", fleetOptions{size: 17, watchers: 6, stalled: all, isolated: all}, platform.Fault{}},
		{"responses of writes lost", fleetOptions{size: 17, watchers: 6}, platform.Fault{LoseAnswers: true}},
		{"slow store", fleetOptions{size: 17, watchers: 6}, platform.Fault{Delay: 200 * time.Millisecond}},
	} {
		convey.Convey("Given a fleet with rules in force: "+test.name, t, func() {
			g := startFleet(t, test.options)
			g.submit(ruleLine(1))
			await(waitLimit, g.inForceEverywhere(1))
			g.platform.SetFault(test.fault)
			g.submit(ruleLine(2))
			took := await(waitLimit, g.inForceEverywhere(2))
			t.Logf("%s: in force everywhere after %s", test.name, took)
			convey.So(g.inForceEverywhere(2)(), convey.ShouldBeTrue)
			convey.So(took, convey.ShouldBeLessThan, propagationLimit)
		})
	}
}

func TestOutageAndRecovery(t *testing.T) {
	convey.Convey("Given a fleet with rules, and a store that becomes unavailable", t, func() {
		const outage = 6 * time.Second
		g := startFleet(t, fleetOptions{size: 17, watchers: 6})
		g.submit(ruleLine(1))
		await(waitLimit, g.inForceEverywhere(1))
		g.platform.SetFault(platform.Fault{Down: true})
		before := g.platform.Counts()
		g.submit(ruleLine(2))
		g.submit(ruleLine(3))
		g.submit("Path=/broken")
		time.Sleep(outage)
		during := g.platform.Counts()
		convey.So(g.inForceEverywhere(1)(), convey.ShouldBeTrue)
		g.platform.SetFault(platform.Fault{CallsPerSecond: 100})
		took := await(waitLimit, g.inForceEverywhere(3))
		convey.Convey("Every submission is handled in order, and calls that failed during the outage cause no burst afterwards", func() {
			convey.So(g.inForceEverywhere(3)(), convey.ShouldBeTrue)
			await(waitLimit, func() bool { return len(g.platform.History(registry.AcceptedKey)) == 4 })
			history := g.platform.History(registry.AcceptedKey)
			a, err := rule.ParseAccepted(string(history[len(history)-1]))
			convey.So(err, convey.ShouldBeNil)
			convey.So(a.Submission, convey.ShouldEqual, 4)
			convey.So(a.Refusals[0].Problem.Code, convey.ShouldEqual, code.RuleMissingField)
			after := g.platform.Counts()
			reads := func(c platform.Counts) float64 { return float64(c.Reads + c.Watches) }
			t.Logf("outage of %s: %g reads and %d writes; then %g reads and %d writes in %s", outage,
				reads(during)-reads(before), during.Writes-before.Writes, reads(after)-reads(during), after.Writes-during.Writes, took)
			const callsPerSecond = 4 // of one gateway while it can't reach the store
			convey.So(reads(during)-reads(before), convey.ShouldBeLessThan, 17*callsPerSecond*outage.Seconds())
			convey.So(after.Refused, convey.ShouldEqual, 0)
			convey.So(after.Writes-during.Writes, convey.ShouldBeLessThan, 17*5)
		})
	})
}

func TestColdStartWithSlowStore(t *testing.T) {
	convey.Convey("Given rules in a store that is slow and rejects more than 200 calls per second", t, func() {
		g := startFleet(t, fleetOptions{size: 17, watchers: 6, fault: platform.Fault{Delay: time.Second, CallsPerSecond: 200}})
		g.platform.Put(registry.AcceptedKey, []byte(rule.Accepted{File: fileOf(7, ruleLine(1)), Submission: 9}.Format()), -1)
		took := await(waitLimit, g.inForceEverywhere(7))
		counts := g.platform.Counts()
		t.Logf("cold start of 17 gateways: rules in force everywhere after %s with %+v", took, counts)
		convey.So(g.inForceEverywhere(7)(), convey.ShouldBeTrue)
		convey.So(counts.Refused, convey.ShouldEqual, 0)
	})
}

func TestStartFromAPeerWithTheStoreDown(t *testing.T) {
	convey.Convey("Given a store that is unavailable and a snapshot from a peer", t, func() {
		first := startFleet(t, fleetOptions{size: 1, watchers: 1})
		first.submit(ruleLine(1))
		await(waitLimit, first.inForceEverywhere(1))
		text, generation := first.members[0].Snapshot()
		convey.So(generation, convey.ShouldEqual, 1)
		g := startFleet(t, fleetOptions{size: 2, watchers: 1, fault: platform.Fault{Down: true}, snapshot: text})
		convey.So(g.inForceEverywhere(1)(), convey.ShouldBeTrue)
		convey.Convey("The rules stay in force when the store becomes available without any", func() {
			g.platform.SetFault(platform.Fault{})
			g.submit(ruleLine(2))
			reads := g.platform.Counts().Reads
			await(waitLimit, func() bool { return g.platform.Counts().Reads > reads+4 })
			convey.So(g.inForceEverywhere(1)(), convey.ShouldBeTrue)
			convey.So(g.platform.History(registry.AcceptedKey), convey.ShouldBeEmpty)
		})
		convey.Convey("Invalid and outdated snapshots change nothing", func() {
			m := g.members[0]
			_, err := m.ReceiveSnapshot(time.Now(), "{}")
			convey.So(code.Of(err), convey.ShouldEqual, code.StoreBadObject)
			result, err := m.ReceiveSnapshot(time.Now(), rule.Accepted{File: fileOf(1)}.Format())
			convey.So(err, convey.ShouldBeNil)
			convey.So(result, convey.ShouldEqual, rule.Stale)
		})
	})
}

func TestOperatorsReadBackWhatIsInForce(t *testing.T) {
	convey.Convey("Given a submission with a conflicting rule", t, func() {
		g := startFleet(t, fleetOptions{size: 3, watchers: 2})
		g.submit(ruleLine(1))
		await(waitLimit, g.inForceEverywhere(1))
		g.platform.Put(registry.SubmittedKey, []byte("# Generation 1\nPath=/r1 Service=T # Tan: one"), -1)
		await(waitLimit, g.inForceEverywhere(2))
		g.platform.Put(registry.SubmittedKey, []byte("# Generation 1\nPath=/r1 Service=U # Mei Lin: other\n"+ruleLine(2)), -1)
		await(waitLimit, g.inForceEverywhere(3))
		var status rule.InForce
		await(waitLimit, func() bool {
			history := g.platform.History(registry.InForceKey)
			if len(history) == 0 {
				return false
			}
			status, _ = rule.ParseInForce(string(history[len(history)-1]))
			return status.Accepted.File.Generation == 3 && len(status.VMs) == 3 && status.VMs[0].Generation+status.VMs[1].Generation+status.VMs[2].Generation == 9
		})
		convey.So(status.VMs, convey.ShouldResemble, []rule.VM{{Name: "gateway-00", Generation: 3}, {Name: "gateway-01", Generation: 3}, {Name: "gateway-02", Generation: 3}})
		convey.So(len(status.Accepted.Refusals), convey.ShouldEqual, 1)
		convey.So(status.Accepted.Refusals[0].Problem.Line, convey.ShouldEqual, 2)
		convey.So(status.Accepted.Refusals[0].Problem.Code, convey.ShouldEqual, code.RuleConflictChange)
		convey.So(rules(status.Accepted.File), convey.ShouldResemble, map[string]string{"/r1": "T", "/r2": "S"})
	})
}

func TestForeignObjectIsRepaired(t *testing.T) {
	older := rule.Accepted{File: fileOf(1, ruleLine(9)), Submission: 1}.Format()
	for _, test := range []struct{ name, text string }{
		{"invalid data", "{}"},
		{"an older generation", older},
		{"an operator's rules file", "# Generation 2\n" + ruleLine(7)},
	} {
		convey.Convey("Given rules in force and, in Rules/Accepted, "+test.name, t, func() {
			g := startFleet(t, fleetOptions{size: 3, watchers: 1})
			g.submit(ruleLine(1))
			await(waitLimit, g.inForceEverywhere(1))
			g.submit(ruleLine(2))
			await(waitLimit, g.inForceEverywhere(2))
			history := g.platform.History(registry.AcceptedKey)
			good := string(history[len(history)-1])
			g.platform.Put(registry.AcceptedKey, []byte(test.text), -1)
			await(waitLimit, func() bool { return len(g.platform.History(registry.AcceptedKey)) > len(history)+1 })
			convey.So(string(g.platform.History(registry.AcceptedKey)[len(history)+1]), convey.ShouldEqual, good)
			g.submit(ruleLine(3))
			await(waitLimit, g.inForceEverywhere(3))
			convey.So(g.inForceEverywhere(3)(), convey.ShouldBeTrue)
		})
	}
}

func TestConcurrentOperatorsWithFaults(t *testing.T) {
	convey.Convey("Given concurrent operators while the store loses responses and becomes unavailable", t, func() {
		const operators, changes = 3, 8
		g := startFleet(t, fleetOptions{size: 5, watchers: 5, sameRank: true})
		g.submit("Path=/start Service=S # Tan: start")
		await(waitLimit, g.inForceEverywhere(1))
		ended := make(chan struct{})
		for operator := range operators {
			go func() {
				for n := range changes {
					g.submit(ruleLine(operator*changes + n))
					time.Sleep(20 * time.Millisecond)
				}
				ended <- struct{}{}
			}()
		}
		faults := []platform.Fault{{LoseAnswers: true}, {Down: true}, {Delay: 30 * time.Millisecond, LoseAnswers: true}, {}}
		for _, fault := range faults {
			g.platform.SetFault(fault)
			time.Sleep(80 * time.Millisecond)
		}
		for range operators {
			<-ended
		}
		await(waitLimit, g.inForceEverywhere(1+operators*changes))
		convey.Convey("Every line is in force on every gateway, and no generation ever decreased", func() {
			convey.So(g.inForceEverywhere(1+operators*changes)(), convey.ShouldBeTrue)
			text, _ := g.members[0].Snapshot()
			a, err := rule.ParseAccepted(text)
			convey.So(err, convey.ShouldBeNil)
			convey.So(len(a.File.Rules()), convey.ShouldEqual, 1+operators*changes)
			for _, m := range g.members {
				other, _ := m.Snapshot()
				convey.So(other, convey.ShouldEqual, text)
			}
		})
	})
}
