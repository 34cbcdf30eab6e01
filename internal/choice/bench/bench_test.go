package bench_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/bench"
)

var start = time.Unix(1_700_000_000, 0)

var policies = []bench.Policy{bench.RoundRobin, bench.TwoChoices, bench.HotCold, bench.PreferredSpill}

func newServers(n int) []mustardsaddle.Server {
	servers := make([]mustardsaddle.Server, n)
	for i := range servers {
		servers[i] = mustardsaddle.Server{
			Name: fmt.Sprintf("booking-%04d", i), Zone: string(rune('a' + i%3)), Slots: 2, Connections: 200,
		}
	}
	return servers
}

func newGateways(n int) []mustardsaddle.VM {
	gateways := make([]mustardsaddle.VM, n)
	for i := range gateways {
		gateways[i] = mustardsaddle.VM{Name: fmt.Sprintf("gateway-%d", i), Zone: string(rune('a' + i%3))}
	}
	return gateways
}

// simulation drives a Chooser with random events and checks its invariants.
type simulation struct {
	t        *rapid.T
	chooser  *bench.Chooser
	now      time.Time
	rng      *rand.Rand
	servers  []mustardsaddle.Server
	draining map[string]bool
	inFlight map[string]int
	choices  []string
}

func newSimulation(t *rapid.T, cfg bench.Config, seed uint64) *simulation {
	sim := &simulation{
		t: t, chooser: bench.New(cfg), now: start, rng: rand.New(rand.NewPCG(seed, 2)),
		servers: newServers(6), draining: make(map[string]bool), inFlight: make(map[string]int),
	}
	sim.chooser.SetServers(sim.now, sim.servers)
	sim.chooser.SetFleet(sim.now, "gateway-0", newGateways(3))
	return sim
}

func (sim *simulation) choose() {
	c, ok := sim.chooser.Choose(sim.now, sim.rng, mustardsaddle.Requirements{Zone: "a"})
	sim.choices = append(sim.choices, c.Server.Name+c.Reason)
	if !ok {
		return
	}
	sim.inFlight[c.Server.Name]++
	if c.Server.Leaving || sim.draining[c.Server.Name] {
		sim.t.Fatalf("choose: got %s, which is leaving or draining", c.Server.Name)
	}
	if n := sim.inFlight[c.Server.Name]; n > 3 {
		sim.t.Fatalf("choose: got %d attempts in %s, want at most 3", n, c.Server.Name)
	}
}

func (sim *simulation) finish(name string) {
	if sim.inFlight[name] == 0 {
		return
	}
	sim.inFlight[name]--
	sim.chooser.Finish(sim.now, mustardsaddle.Result{
		Server: name, Shed: sim.rng.IntN(5) == 0, Failed: sim.rng.IntN(2) == 0, Canceled: sim.rng.IntN(8) == 0,
		Latency: time.Duration(sim.rng.IntN(100)) * time.Millisecond,
	})
}

// step applies one random event and checks the invariants.
func (sim *simulation) step(event int) {
	sim.now = sim.now.Add(time.Duration(sim.rng.IntN(300)) * time.Millisecond)
	i := sim.rng.IntN(len(sim.servers))
	name := sim.servers[i].Name
	switch event {
	case 0:
		sim.servers[i] = sim.servers[i].WithLeaving(!sim.servers[i].Leaving)
		sim.chooser.SetServers(sim.now, sim.servers)
	case 1:
		sim.draining[name] = sim.rng.IntN(3) == 0
		sim.chooser.Observe(sim.now, name, mustardsaddle.Report{InFlight: sim.rng.IntN(9), Draining: sim.draining[name], At: sim.now})
	case 2:
		// The first server is removed and added again. The chooser keeps its state,
		// such as draining, only if it has attempts in flight.
		sim.chooser.SetServers(sim.now, sim.servers[1:])
		sim.chooser.SetServers(sim.now, sim.servers)
		if sim.inFlight[sim.servers[0].Name] == 0 {
			sim.draining[sim.servers[0].Name] = false
		}
	case 3, 4, 5:
		sim.finish(name)
	case 6:
		s, ok := sim.chooser.Probe(sim.now, sim.rng)
		if ok && s.Leaving {
			sim.t.Fatalf("probe: got %s, which is leaving", s.Name)
		}
	default:
		sim.choose()
	}
	if ejected, known := sim.chooser.Ejected(); 2*ejected > known {
		sim.t.Fatalf("ejected: got %d of %d, want at most half", ejected, known)
	}
	for _, s := range sim.servers {
		if got := sim.chooser.InFlight(s.Name); got != sim.inFlight[s.Name] {
			sim.t.Fatalf("in flight at %s: got %d, want %d", s.Name, got, sim.inFlight[s.Name])
		}
	}
}

func TestChooserInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := bench.Config{Policy: rapid.SampledFrom(policies).Draw(t, "policy"), IgnoreShed: rapid.Bool().Draw(t, "ignore")}
		seed := rapid.Uint64().Draw(t, "seed")
		events := rapid.SliceOfN(rapid.IntRange(0, 12), 1, 300).Draw(t, "events")
		first, second := newSimulation(t, cfg, seed), newSimulation(t, cfg, seed)
		for _, event := range events {
			first.step(event)
			second.step(event)
		}
		for i := range first.choices {
			if first.choices[i] != second.choices[i] {
				t.Fatalf("choice %d: got %s and %s for the same inputs", i, first.choices[i], second.choices[i])
			}
		}
	})
}

func TestOwnSlotsAreDisjointAndBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, fleet := rapid.IntRange(1, 40).Draw(t, "servers"), rapid.IntRange(1, 20).Draw(t, "gateways")
		servers, gateways := newServers(n), newGateways(fleet)
		total, highest, lowest := 0, 0, 2*n
		for _, g := range gateways {
			b := bench.New(bench.Config{Policy: bench.PreferredSpill, Queue: -1})
			b.SetServers(start, servers)
			b.SetFleet(start, g.Name, gateways)
			assigned := 0
			rng := rand.New(rand.NewPCG(1, 1))
			for {
				c, ok := b.Choose(start, rng, mustardsaddle.Requirements{})
				if !ok || c.Reason != "Preferred" {
					break
				}
				assigned++
			}
			total, highest, lowest = total+assigned, max(highest, assigned), min(lowest, assigned)
		}
		if share := (2*n + fleet - 1) / fleet; total != 2*n || highest > share {
			t.Fatalf("assigned slots: got %d in total and %d for one gateway, want %d and at most %d", total, highest, 2*n, share)
		}
	})
}

func TestSlowStartIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slowStart := time.Duration(rapid.IntRange(1, 10_000).Draw(t, "slow start")) * time.Millisecond
		queue := rapid.IntRange(1, 5).Draw(t, "queue")
		b := bench.New(bench.Config{Policy: rapid.SampledFrom(policies).Draw(t, "policy"), SlowStart: slowStart, Queue: queue})
		b.SetServers(start, newServers(1))
		b.SetServers(start, newServers(2))
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for now := start; now.Before(start.Add(2 * slowStart)); now = now.Add(slowStart / 7) {
			for {
				if _, ok := b.Choose(now, rng, mustardsaddle.Requirements{}); !ok {
					break
				}
			}
			share := min(1, float64(now.Sub(start))/float64(slowStart))
			most := max(1, int(share*float64(2+queue)+1e-9))
			if got := b.InFlight("booking-0001"); got > most {
				t.Fatalf("after %v of %v: got %d attempts in flight, want at most %d", now.Sub(start), slowStart, got, most)
			}
		}
	})
}

func TestProbesOfAServerAreDividedAmongGateways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.IntRange(1, 20).Draw(t, "gateways")
		gateways := newGateways(fleet)
		interval := time.Duration(rapid.IntRange(1, 200).Draw(t, "interval")) * time.Millisecond
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		probes := make(map[string]int)
		const seconds = 20
		for _, g := range gateways {
			b := bench.New(bench.Config{Policy: bench.HotCold, ProbeInterval: interval})
			b.SetServers(start, newServers(3))
			b.SetFleet(start, g.Name, gateways)
			for now := start; now.Before(start.Add(seconds * time.Second)); now = now.Add(time.Duration(rng.IntN(50)) * time.Millisecond) {
				if s, ok := b.Probe(now, rng); ok {
					probes[s.Name]++
				}
			}
		}
		most := int(seconds*time.Second/interval) + fleet
		for name, n := range probes {
			if n > most {
				t.Fatalf("probes of %s: got %d in %d s, want at most %d", name, n, seconds, most)
			}
		}
	})
}

func TestHealth(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	runAttempts := func(b *bench.Chooser, now time.Time, failing string, latency time.Duration, n int) {
		for range n {
			for range 6 {
				c, ok := b.Choose(now, rng, mustardsaddle.Requirements{})
				if !ok {
					break
				}
				isFailing := c.Server.Name == failing
				r := mustardsaddle.Result{Server: c.Server.Name, Failed: isFailing && latency == 0, Latency: 10 * time.Millisecond}
				if isFailing {
					r.Latency = latency
				}
				b.Finish(now, r)
			}
		}
	}
	convey.Convey("Given six servers chosen by round robin", t, func() {
		b := bench.New(bench.Config{Policy: bench.RoundRobin})
		b.SetServers(start, newServers(6))
		convey.Convey("a server that fails fast is ejected, and readmitted by a report after the backoff", func() {
			runAttempts(b, start, "booking-0003", 0, 6)
			ejected, _ := b.Ejected()
			convey.So(ejected, convey.ShouldEqual, 1)
			b.Observe(start, "booking-0003", mustardsaddle.Report{At: start})
			ejected, _ = b.Ejected()
			convey.So(ejected, convey.ShouldEqual, 1)
			later := start.Add(1100 * time.Millisecond)
			s, ok := b.Probe(later, rng)
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(s.Name, convey.ShouldEqual, "booking-0003")
			b.Observe(later, "booking-0003", mustardsaddle.Report{At: later})
			ejected, _ = b.Ejected()
			convey.So(ejected, convey.ShouldEqual, 0)
			convey.Convey("and a second ejection lasts longer", func() {
				runAttempts(b, later, "booking-0003", 0, 8)
				again := later.Add(1100 * time.Millisecond)
				b.Observe(again, "booking-0003", mustardsaddle.Report{At: again})
				ejected, _ = b.Ejected()
				convey.So(ejected, convey.ShouldEqual, 1)
			})
		})
		convey.Convey("an ejected server is chosen if no other server remains", func() {
			runAttempts(b, start, "booking-0003", 0, 6)
			var others []string
			for _, s := range newServers(6) {
				if s.Name != "booking-0003" {
					others = append(others, s.Name)
				}
			}
			c, ok := b.Choose(start, rng, mustardsaddle.Requirements{Exclude: others})
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(c.Server.Name, convey.ShouldEqual, "booking-0003")
			_, ok = b.Choose(start, rng, mustardsaddle.Requirements{Exclude: append(others, "booking-0003")})
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("a server with high latency is ejected", func() {
			runAttempts(b, start, "booking-0002", 400*time.Millisecond, 12)
			ejected, _ := b.Ejected()
			convey.So(ejected, convey.ShouldEqual, 1)
		})
	})
	convey.Convey("Given servers that all shed, none is chosen until a slot is likely to be free", t, func() {
		b := bench.New(bench.Config{Policy: bench.HotCold})
		b.SetServers(start, newServers(2))
		for range 2 {
			c, ok := b.Choose(start, rng, mustardsaddle.Requirements{})
			convey.So(ok, convey.ShouldBeTrue)
			b.Finish(start, mustardsaddle.Result{Server: c.Server.Name, Outcome: mustardsaddle.NotRun, Shed: true})
		}
		_, ok := b.Choose(start, rng, mustardsaddle.Requirements{})
		convey.So(ok, convey.ShouldBeFalse)
		_, ok = b.Choose(start.Add(10*time.Millisecond), rng, mustardsaddle.Requirements{})
		convey.So(ok, convey.ShouldBeTrue)
	})
	convey.Convey("Given a new server, its attempt limit grows during slow start", t, func() {
		b := bench.New(bench.Config{Policy: bench.HotCold})
		b.SetServers(start, newServers(1))
		all := newServers(2)
		b.SetServers(start, all)
		for _, step := range []struct {
			after time.Duration
			want  int
		}{{0, 1}, {2 * time.Second, 2}, {3 * time.Second, 3}} {
			got := 0
			for {
				c, ok := b.Choose(start.Add(step.after), rng, mustardsaddle.Requirements{Exclude: []string{all[0].Name}})
				if !ok {
					break
				}
				got++
				defer b.Finish(start, mustardsaddle.Result{Server: c.Server.Name})
			}
			convey.So(b.InFlight(all[1].Name), convey.ShouldEqual, step.want)
		}
	})
	convey.Convey("Given a report of free slots, it is used for a bounded number of choices", t, func() {
		b := bench.New(bench.Config{Policy: bench.HotCold, Queue: 10})
		b.SetServers(start, newServers(10))
		for i, s := range newServers(10) {
			b.Observe(start, s.Name, mustardsaddle.Report{InFlight: 4 * min(i, 1), At: start})
		}
		for range 12 {
			_, ok := b.Choose(start, rng, mustardsaddle.Requirements{})
			convey.So(ok, convey.ShouldBeTrue)
		}
		convey.So(b.InFlight("booking-0000"), convey.ShouldBeBetweenOrEqual, 2, 4)
	})
}

// TestInaccurateReportsLoseWeight guards against a server that always reports that
// it is idle and sheds its requests. Trusted, its reports would attract most of the
// attempts.
func TestInaccurateReportsLoseWeight(t *testing.T) {
	convey.Convey("Given two servers, one of which always reports that it is idle and sheds", t, func() {
		rng := rand.New(rand.NewPCG(1, 1))
		b := bench.New(bench.Config{Policy: bench.HotCold, IgnoreShed: true})
		b.SetServers(start, newServers(2))
		misreporting, now := "booking-0000", start
		chosen := func(n int) int {
			count := 0
			for range n {
				now = now.Add(10 * time.Millisecond)
				b.Observe(now, misreporting, mustardsaddle.Report{At: now})
				b.Observe(now, "booking-0001", mustardsaddle.Report{InFlight: 1, At: now})
				c, ok := b.Choose(now, rng, mustardsaddle.Requirements{})
				convey.So(ok, convey.ShouldBeTrue)
				if c.Server.Name == misreporting {
					count++
				}
				b.Finish(now, mustardsaddle.Result{Server: c.Server.Name, Shed: c.Server.Name == misreporting, Latency: time.Millisecond})
			}
			return count
		}
		first := chosen(10)
		convey.So(first, convey.ShouldBeGreaterThan, 1)
		_ = chosen(100)
		// Its share of the attempts must fall below that of the first ten.
		convey.So(chosen(100), convey.ShouldBeLessThan, 10*first)
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 300, 9200} {
		for _, subset := range []int{128, 10000} {
			b.Run(fmt.Sprintf("Servers=%d/Subset=%d", n, subset), func(b *testing.B) {
				chooser := bench.New(bench.Config{Subset: subset})
				chooser.SetServers(start, newServers(n))
				chooser.SetFleet(start, "gateway-0", newGateways(15))
				rng := rand.New(rand.NewPCG(1, 1))
				now := start
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(100 * time.Microsecond)
					c, ok := chooser.Choose(now, rng, mustardsaddle.Requirements{Zone: "a"})
					if !ok {
						b.Fatal("choose: got no server")
					}
					chooser.Observe(now, c.Server.Name, mustardsaddle.Report{InFlight: 1, Slots: 2, At: now})
					chooser.Finish(now, mustardsaddle.Result{Server: c.Server.Name, Latency: 10 * time.Millisecond})
				}
			})
		}
	}
}

func BenchmarkSetFleet(b *testing.B) {
	for _, fleet := range []int{15, 400} {
		b.Run(fmt.Sprintf("Servers=33/Gateways=%d", fleet), func(b *testing.B) {
			chooser := bench.New(bench.Config{})
			chooser.SetServers(start, newServers(33))
			gateways := newGateways(fleet)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				// Two fleets alternate, because an unchanged fleet is ignored.
				chooser.SetFleet(start, "gateway-0", gateways[i%2:])
			}
		})
	}
}

func BenchmarkSetServers(b *testing.B) {
	for _, n := range []int{33, 300, 9200} {
		b.Run(fmt.Sprintf("Servers=%d", n), func(b *testing.B) {
			servers := newServers(n)
			b.ReportAllocs()
			for b.Loop() {
				chooser := bench.New(bench.Config{Subset: n})
				chooser.SetServers(start, servers)
			}
		})
	}
}
