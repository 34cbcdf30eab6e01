package share_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/share"
)

func servers(n, slots int) []mustardsaddle.Server {
	list := make([]mustardsaddle.Server, n)
	for i := range list {
		list[i] = mustardsaddle.Server{Name: fmt.Sprintf("booking-%04d", i), Slots: slots}
	}
	return list
}

func gateways(n int) []mustardsaddle.VM {
	list := make([]mustardsaddle.VM, n)
	for i := range list {
		list[i] = mustardsaddle.VM{Name: fmt.Sprintf("gateway-%04d", i)}
	}
	return list
}

func TestSubsetsCoverAllServersEqually(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all, fleet := servers(rapid.IntRange(1, 300).Draw(t, "Servers"), 2), gateways(rapid.IntRange(1, 40).Draw(t, "Gateways"))
		limit := rapid.IntRange(1, 100).Draw(t, "Limit")
		known := make(map[string]int)
		for _, g := range fleet {
			for _, s := range share.Subset(all, fleet, g.Name, limit) {
				known[s.Name]++
			}
		}
		want := min(len(fleet), (limit*len(fleet)+len(all)-1)/len(all))
		for _, s := range all {
			if known[s.Name] != want {
				t.Fatalf("%s: got %d of %d gateways that know it, want %d", s.Name, known[s.Name], len(fleet), want)
			}
		}
	})
}

func TestAllSlotsAreAssigned(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "Slots")
		all, fleet := servers(rapid.IntRange(1, 60).Draw(t, "Servers"), slots), gateways(rapid.IntRange(1, 20).Draw(t, "Gateways"))
		total := 0
		for _, g := range fleet {
			assigned := 0
			for _, n := range share.Slots(all, fleet, g.Name) {
				assigned += n
			}
			if quota := (len(all)*slots + len(fleet) - 1) / len(fleet); assigned > quota {
				t.Fatalf("%s: got %d assigned slots, want at most %d", g.Name, assigned, quota)
			}
			total += assigned
		}
		if total != len(all)*slots {
			t.Fatalf("got %d assigned slots in total, want %d", total, len(all)*slots)
		}
	})
}
