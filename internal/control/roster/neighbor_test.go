package roster_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
)

func fleet(n, zones, seed int) []mustardsaddle.VM {
	var vms []mustardsaddle.VM
	for i := range n {
		vms = append(vms, mustardsaddle.VM{
			Name: fmt.Sprintf("gateway-%d-%d", seed, i), Zone: fmt.Sprintf("zone-%d", i%zones),
		})
	}
	return vms
}

// graph maps each VM to its neighbors.
func graph(vms []mustardsaddle.VM) map[string][]string {
	g := make(map[string][]string)
	for _, vm := range vms {
		for _, peer := range roster.Neighbors(vms, vm.Name, roster.NeighborConfig{}) {
			g[vm.Name] = append(g[vm.Name], peer.Name)
		}
	}
	return g
}

// depth returns how many hops from one VM reach every VM that is not lost, or -1
// if the links do not join them.
func depth(g map[string][]string, vms []mustardsaddle.VM, lost func(mustardsaddle.VM) bool) int {
	open := make(map[string]bool)
	for _, vm := range vms {
		if !lost(vm) {
			open[vm.Name] = true
		}
	}
	var level []string
	for _, vm := range vms {
		if open[vm.Name] {
			level = []string{vm.Name}
			break
		}
	}
	hops := 0
	for ; len(level) > 0; hops++ {
		var next []string
		for _, name := range level {
			delete(open, name)
		}
		for _, name := range level {
			for _, peer := range g[name] {
				if open[peer] {
					delete(open, peer)
					next = append(next, peer)
				}
			}
		}
		level = next
	}
	if len(open) > 0 {
		return -1
	}
	return max(hops-1, 0)
}

func TestNeighborsStayConnected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{2, 3, 5, 13, 15, 17, 100}).Draw(t, "VMs")
		zones := min(n, rapid.SampledFrom([]int{1, 2, 3, 7}).Draw(t, "Zones"))
		vms := fleet(n, zones, rapid.IntRange(0, 1000).Draw(t, "Seed"))
		g := graph(vms)
		for name, peers := range g {
			for _, peer := range peers {
				if !slices.Contains(g[peer], name) {
					t.Fatalf("%s links to %s, but not back", name, peer)
				}
			}
		}
		for _, gone := range vms {
			if depth(g, vms, func(vm mustardsaddle.VM) bool { return vm.Name == gone.Name }) < 0 {
				t.Fatalf("the loss of %s parts the other VMs", gone.Name)
			}
			if depth(g, vms, func(vm mustardsaddle.VM) bool { return vm.Zone == gone.Zone }) < 0 {
				t.Fatalf("the loss of %s parts the other VMs", gone.Zone)
			}
		}
	})
}

func TestNeighborsAreBounded(t *testing.T) {
	for _, c := range []struct{ vms, zones, degree, hops int }{
		{15, 3, 8, 4}, {100, 7, 12, 6}, {600, 7, 12, 10},
	} {
		convey.Convey(fmt.Sprintf("Given %d VMs in %d zones", c.vms, c.zones), t, func() {
			vms := fleet(c.vms, c.zones, 1)
			g := graph(vms)
			most, sum := 0, 0
			for _, peers := range g {
				most = max(most, len(peers))
				sum += len(peers)
			}
			hops := depth(g, vms, func(mustardsaddle.VM) bool { return false })
			t.Logf("%d VMs: links a VM mean %.1f, most %d; hops %d", c.vms, float64(sum)/float64(c.vms), most, hops)
			convey.So(most, convey.ShouldBeLessThanOrEqualTo, c.degree)
			convey.So(hops, convey.ShouldBeBetweenOrEqual, 1, c.hops)
			for i := range 7 {
				zone := fmt.Sprintf("zone-%d", i)
				left := depth(g, vms, func(vm mustardsaddle.VM) bool { return vm.Zone == zone })
				convey.So(left, convey.ShouldBeGreaterThan, 0)
			}
			for _, gone := range vms[:min(len(vms), 100)] {
				left := depth(g, vms, func(vm mustardsaddle.VM) bool { return vm.Name == gone.Name })
				convey.So(left, convey.ShouldBeGreaterThan, 0)
			}
		})
	}
}

func TestRankIsAnOrderOfTheLiveVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := fleet(rapid.IntRange(1, 20).Draw(t, "VMs"), 3, 0)
		away := rapid.IntRange(0, len(vms)-1).Draw(t, "Leaving")
		key := rapid.String().Draw(t, "Key")
		before := make([]int, len(vms))
		for i, vm := range vms {
			before[i] = roster.Rank(vms, vm.Name, key)
		}
		vms[away] = vms[away].WithLeaving(true)
		var ranks []int
		for i, vm := range vms {
			rank := roster.Rank(vms, vm.Name, key)
			if i == away {
				if rank != len(vms)-1 {
					t.Fatalf("got rank %d for a leaving VM, want %d", rank, len(vms)-1)
				}
				continue
			}
			if rank > before[i] {
				t.Fatalf("%s fell from rank %d to %d when another left", vm.Name, before[i], rank)
			}
			ranks = append(ranks, rank)
		}
		slices.Sort(ranks)
		for i, rank := range ranks {
			if rank != i {
				t.Fatalf("got ranks %v, want 0 to %d", ranks, len(ranks)-1)
			}
		}
	})
}

func BenchmarkNeighbors(b *testing.B) {
	for _, n := range []int{15, 100, 600} {
		b.Run(fmt.Sprintf("VMs=%d", n), func(b *testing.B) {
			vms := fleet(n, 7, 1)
			b.ReportAllocs()
			for b.Loop() {
				roster.Neighbors(vms, vms[0].Name, roster.NeighborConfig{})
			}
		})
	}
}

func BenchmarkRoster(b *testing.B) {
	r := roster.New(roster.Config{})
	page := make([]mustardsaddle.Machine, 0, 33)
	for service := range 280 {
		page = page[:0]
		for i := range 33 {
			m := server(33*service+i, 1)
			m.Service = fmt.Sprintf("Service-%d", service)
			page = append(page, m)
		}
		r = r.WithPage(start, page[0].Service, page)
	}
	changed := slices.Clone(page)
	changed[0].Incarnation = 2
	b.Run("EqualPage", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			r.WithPage(start, page[0].Service, page)
		}
	})
	b.Run("ChangedPage", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			r.WithPage(start, page[0].Service, changed)
		}
	})
	b.Run("Mark", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			r.WithMark(start, leaving(0, 1))
		}
	})
	b.Run("Observe", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			r.Observe(start, "booking-00", mustardsaddle.Report{})
		}
	})
}

func TestNeighborsOfAnUnknownVM(t *testing.T) {
	convey.Convey("Given a list that does not name this VM yet", t, func() {
		vms := []mustardsaddle.VM{{Name: "gateway-1", Zone: "perth-1"}}
		convey.Convey("It has no neighbors", func() {
			convey.So(roster.Neighbors(vms, "gateway-2", roster.NeighborConfig{}), convey.ShouldBeEmpty)
		})
	})
}

func TestReturningVMsAreCalled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var vms []mustardsaddle.VM
		live := 0
		for i := range rapid.IntRange(1, 20).Draw(t, "VMs") {
			vm := mustardsaddle.VM{Name: fmt.Sprintf("gateway-%02d", i), Leaving: rapid.Bool().Draw(t, "Leaving")}
			if !vm.Leaving {
				live++
			}
			vms = append(vms, vm)
		}
		callers := make(map[string]int)
		for _, self := range vms {
			for _, vm := range roster.Returning(vms, self.Name) {
				if self.Leaving && live >= 2 {
					t.Fatalf("%s has left and calls %s", self.Name, vm.Name)
				}
				callers[vm.Name]++
			}
		}
		for _, vm := range vms {
			if !vm.Leaving && callers[vm.Name] > 0 {
				t.Fatalf("%s is live and called %d times", vm.Name, callers[vm.Name])
			}
			if vm.Leaving && live >= 2 && callers[vm.Name] != 2 {
				t.Fatalf("%s is called by %d of %d live gateways, want 2", vm.Name, callers[vm.Name], live)
			}
		}
	})
}
