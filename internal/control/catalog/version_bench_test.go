package catalog_test

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/catalog"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

const (
	// addedRoutes is the number of routes that a large version of the rules adds.
	addedRoutes = 1400
	// smallGCPercent is the setting of the garbage collector on small VMs.
	smallGCPercent = 25
)

// knownRoutes are the sizes of the rules that a version changes.
var knownRoutes = []int{200, 1400, 2800, 5600}

// routeLine returns the line of a route with the given weight.
func routeLine(i, weight int) string {
	return fmt.Sprintf("Host=h%d.example Path=/item%d/* Service=booking-%d:%d,booking-%d:%d Deadline=1.5s Repeat=Yes Attempts=3 Target=300ms Priority=2 # Tan: route %d",
		i%17, i, i%30, weight, i%30+1, 100-weight, i)
}

// routeLines returns the lines of n routes. Lines that are added to k routes stand between those.
func routeLines(n, added int) []string {
	lines := make([]string, 0, n+added)
	for i := range max(n, added) {
		if i < n {
			lines = append(lines, routeLine(i, 90))
		}
		if i < added {
			lines = append(lines, routeLine(1_000_000+i, 90))
		}
	}
	return lines
}

// version is a version of the rules and the one before, as a directory and as a peer state it.
type version struct {
	before, after mustardsaddle.RulesText
	change        mustardsaddle.RuleChange
}

func newVersion(tb testing.TB, before, after []string) version {
	tb.Helper()
	v := version{
		before: mustardsaddle.RulesText{Generation: 1, Text: strings.Join(before, "\n")},
		after:  mustardsaddle.RulesText{Generation: 2, Text: strings.Join(after, "\n")},
	}
	from, problems, _ := rule.ParseDirectory(v.before.Text)
	to, more, _ := rule.ParseDirectory(v.after.Text)
	if len(problems)+len(more) > 0 {
		tb.Fatal(problems, more)
	}
	v.change = mustardsaddle.RuleChange(rule.Diff(from.WithGeneration(1), to.WithGeneration(2)))
	return v
}

// largeVersion returns a version that adds routes to n others.
func largeVersion(tb testing.TB, n int) version {
	tb.Helper()
	return newVersion(tb, routeLines(n, 0), routeLines(n, addedRoutes))
}

// smallVersion returns a version that changes the weights of one of n routes.
func smallVersion(tb testing.TB, n int) version {
	tb.Helper()
	after := routeLines(n, 0)
	after[n/2] = routeLine(n/2, 80)
	return newVersion(tb, routeLines(n, 0), after)
}

// newVersionCatalog returns a catalog that has the rules before a version in force.
func newVersionCatalog(tb testing.TB, v version) *catalog.Catalog {
	tb.Helper()
	now := time.Now()
	c := catalog.New(catalog.Config{Stale: time.Hour, InForce: func(*rule.Table) {}})
	u := mustardsaddle.Update{Whole: true, Position: mustardsaddle.Position{Revision: 1}, Rules: &v.before}
	if err := c.ReceiveResponse(now, now, mustardsaddle.RulesCollection, u); err != nil {
		tb.Fatal(err)
	}
	return c
}

// receiveFromDirectory and receiveFromPeer put a version in force.
func receiveFromDirectory(tb testing.TB, c *catalog.Catalog, v version) {
	tb.Helper()
	now := time.Now()
	u := mustardsaddle.Update{After: mustardsaddle.Position{Revision: 1}, Position: mustardsaddle.Position{Revision: 2}, Rules: &v.after}
	if err := c.ReceiveResponse(now, now, mustardsaddle.RulesCollection, u); err != nil {
		tb.Fatal(err)
	}
}

func receiveFromPeer(tb testing.TB, c *catalog.Catalog, v version) {
	tb.Helper()
	change := v.change
	u := mustardsaddle.Update{After: mustardsaddle.Position{Revision: 1}, Position: mustardsaddle.Position{Revision: 2}, RuleChange: &change}
	if c.Receive(time.Now(), "peer", mustardsaddle.RulesCollection, u) {
		tb.Fatal("the change does not apply")
	}
}

// BenchmarkVersion measures what a version of the rules costs a gateway with one processor that
// reads it from the directory or gets it from a peer: the time, the longest time for which another
// goroutine did not run, and the longest time for which one had to wait for the catalog.
func BenchmarkVersion(b *testing.B) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	defer debug.SetGCPercent(debug.SetGCPercent(smallGCPercent))
	for _, kind := range []struct {
		name    string
		version func(testing.TB, int) version
	}{{"Added=1400", largeVersion}, {"Weights=1", smallVersion}} {
		for _, source := range []struct {
			name    string
			receive func(testing.TB, *catalog.Catalog, version)
		}{{"Directory", receiveFromDirectory}, {"Peer", receiveFromPeer}} {
			for _, n := range knownRoutes {
				b.Run(fmt.Sprintf("%s/%s/Routes=%d", kind.name, source.name, n), func(b *testing.B) {
					v := kind.version(b, n)
					measureVersion(b, v, source.receive)
				})
			}
		}
	}
}

func measureVersion(b *testing.B, v version, receive func(testing.TB, *catalog.Catalog, version)) {
	b.ReportAllocs()
	var stalled, locked time.Duration
	for b.Loop() {
		b.StopTimer()
		c := newVersionCatalog(b, v)
		runtime.GC()
		stop := watchStalls(c)
		b.StartTimer()
		receive(b, c, v)
		b.StopTimer()
		gap, wait := stop()
		stalled, locked = max(stalled, gap), max(locked, wait)
		b.StartTimer()
	}
	b.ReportMetric(float64(stalled.Microseconds())/1e3, "max-stall-ms")
	b.ReportMetric(float64(locked.Microseconds())/1e3, "max-lock-ms")
}

// watchStalls starts a goroutine that wakes each millisecond and one that asks the catalog for its state. The
// returned function ends them and returns the longest delays of both.
func watchStalls(c *catalog.Catalog) func() (gap, wait time.Duration) {
	const interval = time.Millisecond
	var ended atomic.Bool
	watch := func(probe func()) <-chan time.Duration {
		result := make(chan time.Duration, 1)
		go func() {
			longest := time.Duration(0)
			for !ended.Load() {
				started := time.Now()
				probe()
				longest = max(longest, time.Since(started))
				time.Sleep(interval)
			}
			result <- longest
		}()
		return result
	}
	gap := watch(func() { time.Sleep(interval) })
	wait := watch(func() { c.Known(time.Now(), mustardsaddle.RulesCollection) })
	time.Sleep(2 * interval)
	return func() (time.Duration, time.Duration) {
		ended.Store(true)
		return <-gap - interval, <-wait
	}
}
