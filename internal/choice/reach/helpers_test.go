package reach_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/reach"
)

// fleet returns n gateways in three availability zones.
func fleet(n int) []mustardsaddle.VM {
	vms := make([]mustardsaddle.VM, n)
	for i := range vms {
		vms[i] = mustardsaddle.VM{
			Name: fmt.Sprintf("gateway-%03d", i), Incarnation: 1, Zone: fmt.Sprintf("zone-%d", i%3), Peer: fmt.Sprintf("10.0.0.%d:8082", i),
		}
	}
	return vms
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func TestHelpersPickOnlyGatewaysThatMayServe(t *testing.T) {
	booking := reach.Need{Service: "Booking", Zone: "zone-0"}
	tests := []struct {
		name   string
		change func(vms []mustardsaddle.VM, table *reach.Table, h *reach.Helpers)
		need   reach.Need
		want   []string
	}{
		{"all but itself", func([]mustardsaddle.VM, *reach.Table, *reach.Helpers) {}, booking, []string{"gateway-001", "gateway-002", "gateway-003"}},
		{"not those that are leaving", func(vms []mustardsaddle.VM, _ *reach.Table, h *reach.Helpers) {
			vms[1] = vms[1].WithLeaving(true)
			h.SetFleet(vms)
		}, booking, []string{"gateway-002", "gateway-003"}},
		{"not those that have lost the service", func(_ []mustardsaddle.VM, table *reach.Table, _ *reach.Helpers) {
			table.Merge(at(0), []mustardsaddle.GatewayReach{
				{Name: "gateway-001", Incarnation: 1, Seq: 1, Lost: []string{"Booking"}}, {Name: "gateway-002", Incarnation: 1, Seq: 1, Lost: []string{"Rosters"}},
			})
		}, booking, []string{"gateway-002", "gateway-003"}},
		{"those that have regained it", func(_ []mustardsaddle.VM, table *reach.Table, _ *reach.Helpers) {
			lost := mustardsaddle.GatewayReach{Name: "gateway-001", Incarnation: 1, Seq: 1, Lost: []string{"Booking"}}
			table.Merge(at(0), []mustardsaddle.GatewayReach{lost.WithLost(nil)})
			table.Merge(at(0), []mustardsaddle.GatewayReach{lost})
		}, booking, []string{"gateway-001", "gateway-002", "gateway-003"}},
		{"those that started again", func(vms []mustardsaddle.VM, table *reach.Table, h *reach.Helpers) {
			table.Merge(at(0), []mustardsaddle.GatewayReach{{Name: "gateway-001", Incarnation: 1, Seq: 1, Lost: []string{"Booking"}}})
			vms[1].Incarnation = 2
			table.SetFleet(vms)
			h.SetFleet(vms)
		}, booking, []string{"gateway-001", "gateway-002", "gateway-003"}},
		{"not those that were tried", func([]mustardsaddle.VM, *reach.Table, *reach.Helpers) {},
			reach.Need{Service: "Booking", Tried: []string{"gateway-003"}}, []string{"gateway-001", "gateway-002"}},
		{"only the given ones", func([]mustardsaddle.VM, *reach.Table, *reach.Helpers) {},
			reach.Need{Service: "Booking", Among: []string{"gateway-002", "gateway-009"}}, []string{"gateway-002"}},
		{"none of none", func([]mustardsaddle.VM, *reach.Table, *reach.Helpers) {}, reach.Need{Service: "Booking", Among: []string{}}, nil},
		{"one that has served before others", func(_ []mustardsaddle.VM, _ *reach.Table, h *reach.Helpers) {
			h.Finish(at(0), reach.Reply{Gateway: "gateway-002", Service: "Booking", Served: true})
		}, booking, []string{"gateway-002"}},
		{"those from which callers have left like others", func(_ []mustardsaddle.VM, _ *reach.Table, h *reach.Helpers) {
			h.Finish(at(0), reach.Reply{Gateway: "gateway-002", Service: "Booking"})
		}, booking, []string{"gateway-001", "gateway-002", "gateway-003"}},
		{"not one that has served and then lost the service", func(_ []mustardsaddle.VM, _ *reach.Table, h *reach.Helpers) {
			h.Finish(at(0), reach.Reply{Gateway: "gateway-002", Service: "Booking", Served: true})
			h.Finish(at(0), reach.Reply{Gateway: "gateway-002", Service: "Booking", Lost: true})
		}, booking, []string{"gateway-001", "gateway-003"}},
		{"one that has not renewed its statement", func(_ []mustardsaddle.VM, table *reach.Table, _ *reach.Helpers) {
			table.Merge(at(-4900), []mustardsaddle.GatewayReach{
				{Name: "gateway-001", Incarnation: 1, Seq: 1, Lost: []string{"Booking"}}, {Name: "gateway-002", Incarnation: 1, Seq: 1, Lost: []string{"Booking"}},
			})
			table.Merge(at(-2000), []mustardsaddle.GatewayReach{{Name: "gateway-002", Incarnation: 1, Seq: 1, Lost: []string{"Booking"}}})
		}, booking, []string{"gateway-001", "gateway-003"}},
		{"not one that failed", func(_ []mustardsaddle.VM, _ *reach.Table, h *reach.Helpers) {
			h.Finish(at(0), reach.Reply{Gateway: "gateway-001", Service: "Booking", Failed: true})
		}, booking, []string{"gateway-002", "gateway-003"}},
		{"not one that failed repeatedly, for longer", func(_ []mustardsaddle.VM, _ *reach.Table, h *reach.Helpers) {
			for range 3 {
				h.Finish(at(-7500), reach.Reply{Gateway: "gateway-001", Service: "Booking", Failed: true})
			}
			h.Finish(at(-7500), reach.Reply{Gateway: "gateway-002", Service: "Booking", Failed: true})
		}, booking, []string{"gateway-002", "gateway-003"}},
		{"not one that refused for a time", func(_ []mustardsaddle.VM, _ *reach.Table, h *reach.Helpers) {
			h.Finish(at(0), reach.Reply{Gateway: "gateway-001", Service: "Booking", RetryAfter: 200 * time.Millisecond})
			h.Finish(at(0), reach.Reply{Gateway: "gateway-002", Service: "Booking", RetryAfter: 50 * time.Millisecond})
			h.Finish(at(0), reach.Reply{Gateway: "gateway-003", Service: "Rosters", Lost: true})
		}, booking, []string{"gateway-002", "gateway-003"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			vms, table := fleet(4), reach.NewTable()
			table.SetFleet(vms)
			h := reach.NewHelpers(vms[0], table)
			h.SetFleet(vms)
			tt.change(vms, table, h)
			picked := make(map[string]bool)
			rng := newRand()
			for range 20 {
				if vm, ok := h.Pick(at(100), rng, tt.need); ok {
					picked[vm.Name] = true
				}
			}
			var got []string
			for name := range picked {
				got = append(got, name)
			}
			slices.Sort(got)
			if !slices.Equal(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// TestForwardedCallsSpread guards against gateways that have lost a service sending their
// calls to a few of the others.
func TestForwardedCallsSpread(t *testing.T) {
	const callsInFlight = 8
	for _, tt := range []struct{ gateways, cut int }{{13, 8}, {13, 12}, {101, 61}, {311, 187}, {311, 280}} {
		vms, rng := fleet(tt.gateways), newRand()
		carried := make(map[string]int)
		for _, self := range vms[:tt.cut] {
			table := reach.NewTable()
			table.SetFleet(vms)
			for _, other := range vms[:tt.cut] {
				table.Merge(at(0), []mustardsaddle.GatewayReach{{Name: other.Name, Incarnation: 1, Seq: 1, Lost: []string{"Booking"}}})
			}
			h := reach.NewHelpers(self, table)
			h.SetFleet(vms)
			for range callsInFlight {
				vm, ok := h.Pick(at(0), rng, reach.Need{Service: "Booking", Zone: self.Zone})
				if !ok {
					t.Fatalf("%d of %d cut off: no gateway takes a call", tt.cut, tt.gateways)
				}
				carried[vm.Name]++
			}
		}
		mean := float64(callsInFlight*tt.cut) / float64(tt.gateways-tt.cut)
		for name, n := range carried {
			if slices.ContainsFunc(vms[:tt.cut], func(vm mustardsaddle.VM) bool { return vm.Name == name }) {
				t.Errorf("%d of %d cut off: %s is cut off and got %d calls", tt.cut, tt.gateways, name, n)
			}
			if float64(n) > 2*mean+callsInFlight {
				t.Errorf("%d of %d cut off: %s carries %d calls, want at most twice the mean of %.0f and %d", tt.cut, tt.gateways, name, n, mean, callsInFlight)
			}
		}
	}
}

// TestPropertyTableConverges checks that gateways that hear the same statements in any order,
// repeated ones among them, agree, and that no statement counts once its gateway is silent.
func TestPropertyTableConverges(t *testing.T) {
	const lifetime = 5000
	vms := fleet(13)
	rapid.Check(t, func(rt *rapid.T) {
		statement := rapid.Custom(func(rt *rapid.T) mustardsaddle.GatewayReach {
			r := mustardsaddle.GatewayReach{
				Name:        vms[rapid.IntRange(0, len(vms)-1).Draw(rt, "gateway")].Name,
				Incarnation: rapid.Int64Range(1, 3).Draw(rt, "incarnation"), Seq: rapid.Int64Range(1, 4).Draw(rt, "seq"),
			}
			if (r.Incarnation+r.Seq)%2 == 0 {
				r.Lost = []string{"Booking"}
			}
			return r
		})
		statements := rapid.SliceOfN(statement, 1, 30).Draw(rt, "statements")
		a, b := reach.NewTable(), reach.NewTable()
		a.SetFleet(vms)
		b.SetFleet(vms)
		for _, s := range statements {
			a.Merge(at(0), []mustardsaddle.GatewayReach{s})
		}
		b.Merge(at(0), rapid.Permutation(statements).Draw(rt, "order"))
		for _, i := range rapid.SliceOf(rapid.IntRange(0, len(statements)-1)).Draw(rt, "repeated") {
			b.Merge(at(0), []mustardsaddle.GatewayReach{statements[i]})
		}
		for _, vm := range vms {
			if lostA, lostB := a.Lost(at(0), vm, "Booking"), b.Lost(at(0), vm, "Booking"); lostA != lostB {
				rt.Fatalf("%s: got lost %t and %t", vm.Name, lostA, lostB)
			}
			if a.Lost(at(lifetime), vm, "Booking") {
				rt.Fatalf("%s: got lost %d ms after its last statement", vm.Name, lifetime)
			}
		}
		if n := a.Gateways(at(lifetime)); n > 0 {
			rt.Fatalf("got %d gateways that have lost a service, want none", n)
		}
	})
}

// TestOwnPathFails guards against a gateway whose own link is slow sending its calls, which
// its servers would serve, to one gateway after another.
func TestOwnPathFails(t *testing.T) {
	silent := func(name string) reach.Reply {
		return reach.Reply{Gateway: name, Service: "Booking", Failed: true, Silent: true}
	}
	refused := reach.Reply{Gateway: "gateway-003", Service: "Booking", Failed: true}
	served := reach.Reply{Gateway: "gateway-004", Service: "Booking", Served: true}
	left := reach.Reply{Gateway: "gateway-004", Service: "Booking"}
	tests := []struct {
		name    string
		replies []reach.Reply
		atMS    int
		want    bool
	}{
		{"none", nil, 0, false},
		{"three gateways in a row", []reach.Reply{silent("gateway-001"), silent("gateway-002"), silent("gateway-003")}, 0, true},
		{"a while ago", []reach.Reply{silent("gateway-001"), silent("gateway-002"), silent("gateway-003")}, 2000, false},
		{"one gateway repeatedly", []reach.Reply{silent("gateway-001"), silent("gateway-001"), silent("gateway-001")}, 0, false},
		{"one of them has ended", []reach.Reply{silent("gateway-001"), silent("gateway-002"), refused}, 0, false},
		{"one replies in between", []reach.Reply{silent("gateway-001"), silent("gateway-002"), served, silent("gateway-003")}, 0, false},
		{"a caller leaves in between", []reach.Reply{silent("gateway-001"), silent("gateway-002"), left, silent("gateway-003")}, 0, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			vms, table := fleet(13), reach.NewTable()
			h := reach.NewHelpers(vms[0], table)
			h.SetFleet(vms)
			for _, r := range tt.replies {
				h.Finish(at(0), r)
			}
			if got := h.OwnPathFails(at(tt.atMS)); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}
