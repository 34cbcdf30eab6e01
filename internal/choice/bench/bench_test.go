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

func serversOf(n int) []mustardsaddle.Server {
	servers := make([]mustardsaddle.Server, n)
	for i := range servers {
		servers[i] = mustardsaddle.Server{
			Name: fmt.Sprintf("booking-%04d", i), Zone: string(rune('a' + i%3)), Slots: 2, Connections: 200,
		}
	}
	return servers
}

func gatewaysOf(n int) []mustardsaddle.VM {
	gateways := make([]mustardsaddle.VM, n)
	for i := range gateways {
		gateways[i] = mustardsaddle.VM{Name: fmt.Sprintf("gateway-%d", i), Zone: string(rune('a' + i%3))}
	}
	return gateways
}

// world drives a bench with random events and keeps what must hold.
type world struct {
	t        *rapid.T
	b        *bench.Bench
	now      time.Time
	rng      *rand.Rand
	servers  []mustardsaddle.Server
	draining map[string]bool
	flight   map[string]int
	log      []string
}

func newWorld(t *rapid.T, cfg bench.Config, seed uint64) *world {
	w := &world{
		t: t, b: bench.New(cfg), now: start, rng: rand.New(rand.NewPCG(seed, 2)),
		servers: serversOf(6), draining: make(map[string]bool), flight: make(map[string]int),
	}
	w.b.SetServers(w.now, w.servers)
	w.b.SetFleet(w.now, "gateway-0", gatewaysOf(3))
	return w
}

func (w *world) choose() {
	c, ok := w.b.Choose(w.now, w.rng, mustardsaddle.Need{Zone: "a"})
	w.log = append(w.log, c.Server.Name+c.Reason)
	if !ok {
		return
	}
	w.flight[c.Server.Name]++
	if c.Server.Leaving || w.draining[c.Server.Name] {
		w.t.Fatalf("choose: got %s, which is leaving or draining", c.Server.Name)
	}
	if n := w.flight[c.Server.Name]; n > 3 {
		w.t.Fatalf("choose: got %d attempts in %s, want at most 3", n, c.Server.Name)
	}
}

func (w *world) finish(name string) {
	if w.flight[name] == 0 {
		return
	}
	w.flight[name]--
	w.b.Finish(w.now, mustardsaddle.Result{
		Server: name, Shed: w.rng.IntN(5) == 0, Failed: w.rng.IntN(2) == 0, Canceled: w.rng.IntN(8) == 0,
		Latency: time.Duration(w.rng.IntN(100)) * time.Millisecond,
	})
}

// step applies one random event and checks the invariants.
func (w *world) step(kind int) {
	w.now = w.now.Add(time.Duration(w.rng.IntN(300)) * time.Millisecond)
	i := w.rng.IntN(len(w.servers))
	name := w.servers[i].Name
	switch kind {
	case 0:
		w.servers[i] = w.servers[i].WithLeaving(!w.servers[i].Leaving)
		w.b.SetServers(w.now, w.servers)
	case 1:
		w.draining[name] = w.rng.IntN(3) == 0
		w.b.Observe(w.now, name, mustardsaddle.Report{InFlight: w.rng.IntN(9), Draining: w.draining[name], At: w.now})
	case 2:
		// A server goes and comes back with attempts in flight.
		w.b.SetServers(w.now, w.servers[1:])
		w.b.SetServers(w.now, w.servers)
		if w.flight[w.servers[0].Name] == 0 {
			w.draining[w.servers[0].Name] = false
		}
	case 3, 4, 5:
		w.finish(name)
	case 6:
		s, ok := w.b.Probe(w.now, w.rng)
		if ok && s.Leaving {
			w.t.Fatalf("probe: got %s, which is leaving", s.Name)
		}
	default:
		w.choose()
	}
	if ejected, known := w.b.Ejected(); 2*ejected > known {
		w.t.Fatalf("ejected: got %d of %d, want at most half", ejected, known)
	}
	for _, s := range w.servers {
		if got := w.b.InFlight(s.Name); got != w.flight[s.Name] {
			w.t.Fatalf("in flight at %s: got %d, want %d", s.Name, got, w.flight[s.Name])
		}
	}
}

func TestBenchInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := bench.Config{Policy: rapid.SampledFrom(policies).Draw(t, "policy"), IgnoreShed: rapid.Bool().Draw(t, "ignore")}
		seed := rapid.Uint64().Draw(t, "seed")
		kinds := rapid.SliceOfN(rapid.IntRange(0, 12), 1, 300).Draw(t, "events")
		one, two := newWorld(t, cfg, seed), newWorld(t, cfg, seed)
		for _, kind := range kinds {
			one.step(kind)
			two.step(kind)
		}
		for i := range one.log {
			if one.log[i] != two.log[i] {
				t.Fatalf("choice %d: got %s and %s from equal inputs", i, one.log[i], two.log[i])
			}
		}
	})
}

func TestOwnSlotsAreDisjointAndBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, fleet := rapid.IntRange(1, 40).Draw(t, "servers"), rapid.IntRange(1, 20).Draw(t, "gateways")
		servers, gateways := serversOf(n), gatewaysOf(fleet)
		owned, most, least := 0, 0, 2*n
		for _, g := range gateways {
			b := bench.New(bench.Config{Policy: bench.PreferredSpill, Queue: -1})
			b.SetServers(start, servers)
			b.SetFleet(start, g.Name, gateways)
			mine := 0
			rng := rand.New(rand.NewPCG(1, 1))
			for {
				c, ok := b.Choose(start, rng, mustardsaddle.Need{})
				if !ok || c.Reason != "Preferred" {
					break
				}
				mine++
			}
			owned, most, least = owned+mine, max(most, mine), min(least, mine)
		}
		if share := (2*n + fleet - 1) / fleet; owned != 2*n || most > share {
			t.Fatalf("assign: got %d slots in all and %d at most, want %d and %d", owned, most, 2*n, share)
		}
	})
}

func TestSlowStartIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slowStart := time.Duration(rapid.IntRange(1, 10_000).Draw(t, "slow start")) * time.Millisecond
		queue := rapid.IntRange(1, 5).Draw(t, "queue")
		b := bench.New(bench.Config{Policy: rapid.SampledFrom(policies).Draw(t, "policy"), SlowStart: slowStart, Queue: queue})
		b.SetServers(start, serversOf(1))
		b.SetServers(start, serversOf(2))
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		for now := start; now.Before(start.Add(2 * slowStart)); now = now.Add(slowStart / 7) {
			for {
				if _, ok := b.Choose(now, rng, mustardsaddle.Need{}); !ok {
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
		gateways := gatewaysOf(fleet)
		interval := time.Duration(rapid.IntRange(1, 200).Draw(t, "interval")) * time.Millisecond
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		probes := make(map[string]int)
		const seconds = 20
		for _, g := range gateways {
			b := bench.New(bench.Config{Policy: bench.HotCold, ProbeInterval: interval})
			b.SetServers(start, serversOf(3))
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
	tell := func(b *bench.Bench, now time.Time, failing string, latency time.Duration, n int) {
		for range n {
			for range 6 {
				c, ok := b.Choose(now, rng, mustardsaddle.Need{})
				if !ok {
					break
				}
				bad := c.Server.Name == failing
				r := mustardsaddle.Result{Server: c.Server.Name, Failed: bad && latency == 0, Latency: 10 * time.Millisecond}
				if bad {
					r.Latency = latency
				}
				b.Finish(now, r)
			}
		}
	}
	convey.Convey("Given six servers taken in turn", t, func() {
		b := bench.New(bench.Config{Policy: bench.RoundRobin})
		b.SetServers(start, serversOf(6))
		convey.Convey("one that fails fast is ejected, and readmitted by a report after the backoff", func() {
			tell(b, start, "booking-0003", 0, 6)
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
				tell(b, later, "booking-0003", 0, 8)
				again := later.Add(1100 * time.Millisecond)
				b.Observe(again, "booking-0003", mustardsaddle.Report{At: again})
				ejected, _ = b.Ejected()
				convey.So(ejected, convey.ShouldEqual, 1)
			})
		})
		convey.Convey("an ejected server is chosen when no other remains", func() {
			tell(b, start, "booking-0003", 0, 6)
			var others []string
			for _, s := range serversOf(6) {
				if s.Name != "booking-0003" {
					others = append(others, s.Name)
				}
			}
			c, ok := b.Choose(start, rng, mustardsaddle.Need{Exclude: others})
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(c.Server.Name, convey.ShouldEqual, "booking-0003")
			_, ok = b.Choose(start, rng, mustardsaddle.Need{Exclude: append(others, "booking-0003")})
			convey.So(ok, convey.ShouldBeFalse)
		})
		convey.Convey("a straggler is ejected", func() {
			tell(b, start, "booking-0002", 400*time.Millisecond, 12)
			ejected, _ := b.Ejected()
			convey.So(ejected, convey.ShouldEqual, 1)
		})
	})
	convey.Convey("Given servers that all shed, none is chosen until a slot may be free", t, func() {
		b := bench.New(bench.Config{Policy: bench.HotCold})
		b.SetServers(start, serversOf(2))
		for range 2 {
			c, ok := b.Choose(start, rng, mustardsaddle.Need{})
			convey.So(ok, convey.ShouldBeTrue)
			b.Finish(start, mustardsaddle.Result{Server: c.Server.Name, Outcome: mustardsaddle.NotRun, Shed: true})
		}
		_, ok := b.Choose(start, rng, mustardsaddle.Need{})
		convey.So(ok, convey.ShouldBeFalse)
		_, ok = b.Choose(start.Add(10*time.Millisecond), rng, mustardsaddle.Need{})
		convey.So(ok, convey.ShouldBeTrue)
	})
	convey.Convey("Given a server that is new, its share grows over the slow start", t, func() {
		b := bench.New(bench.Config{Policy: bench.HotCold})
		b.SetServers(start, serversOf(1))
		all := serversOf(2)
		b.SetServers(start, all)
		for _, step := range []struct {
			after time.Duration
			want  int
		}{{0, 1}, {2 * time.Second, 2}, {3 * time.Second, 3}} {
			got := 0
			for {
				c, ok := b.Choose(start.Add(step.after), rng, mustardsaddle.Need{Exclude: []string{all[0].Name}})
				if !ok {
					break
				}
				got++
				defer b.Finish(start, mustardsaddle.Result{Server: c.Server.Name})
			}
			convey.So(b.InFlight(all[1].Name), convey.ShouldEqual, step.want)
		}
	})
	convey.Convey("Given a report of free slots, it draws few choices before it is spent", t, func() {
		b := bench.New(bench.Config{Policy: bench.HotCold, Queue: 10})
		b.SetServers(start, serversOf(10))
		for i, s := range serversOf(10) {
			b.Observe(start, s.Name, mustardsaddle.Report{InFlight: 4 * min(i, 1), At: start})
		}
		for range 12 {
			_, ok := b.Choose(start, rng, mustardsaddle.Need{})
			convey.So(ok, convey.ShouldBeTrue)
		}
		convey.So(b.InFlight("booking-0000"), convey.ShouldBeBetweenOrEqual, 2, 4)
	})
}

func TestLyingReportsLoseTheirWeight(t *testing.T) {
	convey.Convey("Given two servers, of which one always reports to be idle and sheds", t, func() {
		rng := rand.New(rand.NewPCG(1, 1))
		b := bench.New(bench.Config{Policy: bench.HotCold, IgnoreShed: true})
		b.SetServers(start, serversOf(2))
		liar, now := "booking-0000", start
		chosen := func(n int) int {
			count := 0
			for range n {
				now = now.Add(10 * time.Millisecond)
				b.Observe(now, liar, mustardsaddle.Report{At: now})
				b.Observe(now, "booking-0001", mustardsaddle.Report{InFlight: 1, At: now})
				c, ok := b.Choose(now, rng, mustardsaddle.Need{})
				convey.So(ok, convey.ShouldBeTrue)
				if c.Server.Name == liar {
					count++
				}
				b.Finish(now, mustardsaddle.Result{Server: c.Server.Name, Shed: c.Server.Name == liar, Latency: time.Millisecond})
			}
			return count
		}
		first := chosen(10)
		convey.So(first, convey.ShouldBeGreaterThan, 1)
		_ = chosen(100)
		convey.So(chosen(100), convey.ShouldBeLessThan, 10*first)
	})
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{20, 300, 9200} {
		for _, subset := range []int{128, 10000} {
			b.Run(fmt.Sprintf("Servers=%d/Subset=%d", n, subset), func(b *testing.B) {
				chooser := bench.New(bench.Config{Subset: subset})
				chooser.SetServers(start, serversOf(n))
				chooser.SetFleet(start, "gateway-0", gatewaysOf(15))
				rng := rand.New(rand.NewPCG(1, 1))
				now := start
				b.ReportAllocs()
				for b.Loop() {
					now = now.Add(100 * time.Microsecond)
					c, ok := chooser.Choose(now, rng, mustardsaddle.Need{Zone: "a"})
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
			chooser.SetServers(start, serversOf(33))
			gateways := gatewaysOf(fleet)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				chooser.SetFleet(start, "gateway-0", gateways[i%2:])
			}
		})
	}
}

func BenchmarkSetServers(b *testing.B) {
	for _, n := range []int{33, 300, 9200} {
		b.Run(fmt.Sprintf("Servers=%d", n), func(b *testing.B) {
			servers := serversOf(n)
			b.ReportAllocs()
			for b.Loop() {
				chooser := bench.New(bench.Config{Subset: n})
				chooser.SetServers(start, servers)
			}
		})
	}
}
