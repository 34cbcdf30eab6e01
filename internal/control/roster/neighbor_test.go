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

func newVMs(n, zones, seed int) []mustardsaddle.VM {
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

// eccentricity returns the number of hops within which the first remaining VM reaches
// all others, without the failed VMs, or -1 if the remaining VMs are not connected.
func eccentricity(g map[string][]string, vms []mustardsaddle.VM, failed func(mustardsaddle.VM) bool) int {
	unvisited := make(map[string]bool)
	for _, vm := range vms {
		if !failed(vm) {
			unvisited[vm.Name] = true
		}
	}
	var frontier []string
	for _, vm := range vms {
		if unvisited[vm.Name] {
			frontier = []string{vm.Name}
			break
		}
	}
	hops := 0
	for ; len(frontier) > 0; hops++ {
		var next []string
		for _, name := range frontier {
			delete(unvisited, name)
		}
		for _, name := range frontier {
			for _, peer := range g[name] {
				if unvisited[peer] {
					delete(unvisited, peer)
					next = append(next, peer)
				}
			}
		}
		frontier = next
	}
	if len(unvisited) > 0 {
		return -1
	}
	return max(hops-1, 0)
}

func TestNeighborsStayConnected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{2, 3, 5, 13, 15, 17, 100}).Draw(t, "VMs")
		zones := min(n, rapid.SampledFrom([]int{1, 2, 3, 7}).Draw(t, "Zones"))
		vms := newVMs(n, zones, rapid.IntRange(0, 1000).Draw(t, "Seed"))
		g := graph(vms)
		for name, peers := range g {
			for _, peer := range peers {
				if !slices.Contains(g[peer], name) {
					t.Fatalf("%s is linked to %s, but not the reverse", name, peer)
				}
			}
		}
		for _, lost := range vms {
			if eccentricity(g, vms, func(vm mustardsaddle.VM) bool { return vm.Name == lost.Name }) < 0 {
				t.Fatalf("the loss of %s disconnects the remaining VMs", lost.Name)
			}
			if eccentricity(g, vms, func(vm mustardsaddle.VM) bool { return vm.Zone == lost.Zone }) < 0 {
				t.Fatalf("the loss of %s disconnects the remaining VMs", lost.Zone)
			}
		}
	})
}

func TestNeighborsAreBounded(t *testing.T) {
	for _, c := range []struct{ vms, zones, degree, hops int }{
		{15, 3, 8, 4}, {100, 7, 12, 6}, {600, 7, 12, 10},
	} {
		convey.Convey(fmt.Sprintf("Given %d VMs in %d zones", c.vms, c.zones), t, func() {
			vms := newVMs(c.vms, c.zones, 1)
			g := graph(vms)
			maxLinks, sum := 0, 0
			for _, peers := range g {
				maxLinks = max(maxLinks, len(peers))
				sum += len(peers)
			}
			hops := eccentricity(g, vms, func(mustardsaddle.VM) bool { return false })
			t.Logf("%d VMs: mean links per VM %.1f, maximum %d; hops %d", c.vms, float64(sum)/float64(c.vms), maxLinks, hops)
			convey.So(maxLinks, convey.ShouldBeLessThanOrEqualTo, c.degree)
			convey.So(hops, convey.ShouldBeBetweenOrEqual, 1, c.hops)
			for i := range 7 {
				zone := fmt.Sprintf("zone-%d", i)
				hopsAfterLoss := eccentricity(g, vms, func(vm mustardsaddle.VM) bool { return vm.Zone == zone })
				convey.So(hopsAfterLoss, convey.ShouldBeGreaterThan, 0)
			}
			for _, lost := range vms[:min(len(vms), 100)] {
				hopsAfterLoss := eccentricity(g, vms, func(vm mustardsaddle.VM) bool { return vm.Name == lost.Name })
				convey.So(hopsAfterLoss, convey.ShouldBeGreaterThan, 0)
			}
		})
	}
}

func TestRankIsAnOrderOfTheLiveVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := newVMs(rapid.IntRange(1, 20).Draw(t, "VMs"), 3, 0)
		leavingIndex := rapid.IntRange(0, len(vms)-1).Draw(t, "Leaving")
		key := rapid.String().Draw(t, "Key")
		before := make([]int, len(vms))
		for i, vm := range vms {
			before[i] = roster.Rank(vms, vm.Name, key)
		}
		vms[leavingIndex] = vms[leavingIndex].WithLeaving(true)
		var ranks []int
		for i, vm := range vms {
			rank := roster.Rank(vms, vm.Name, key)
			if i == leavingIndex {
				if rank != len(vms)-1 {
					t.Fatalf("got rank %d for a leaving VM, want %d", rank, len(vms)-1)
				}
				continue
			}
			if rank > before[i] {
				t.Fatalf("rank of %s increased from %d to %d when another VM left", vm.Name, before[i], rank)
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
			vms := newVMs(n, 7, 1)
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
			r.WithMark(start, leavingMark(0, 1))
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

func TestDepartedVMsAreDialed(t *testing.T) {
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
		dialers := make(map[string]int)
		for _, self := range vms {
			for _, vm := range roster.DepartedToDial(vms, self.Name) {
				if self.Leaving && live >= 2 {
					t.Fatalf("%s has left and dials %s", self.Name, vm.Name)
				}
				dialers[vm.Name]++
			}
		}
		for _, vm := range vms {
			if !vm.Leaving && dialers[vm.Name] > 0 {
				t.Fatalf("%s is live and dialed by %d gateways", vm.Name, dialers[vm.Name])
			}
			if vm.Leaving && live >= 2 && dialers[vm.Name] != 2 {
				t.Fatalf("%s is dialed by %d gateways while %d are live, want 2", vm.Name, dialers[vm.Name], live)
			}
		}
	})
}
