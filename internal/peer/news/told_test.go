package news_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// Gateways in a ring forward their new entries to both neighbors, in any order. All
// of them learn the generation of every VM, and then have nothing left to forward.
func TestGenerationsReachEveryVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "VMs")
		name := func(i int) string { return fmt.Sprintf("gateway-%d", i) }
		trackers := make([]*news.GenerationTracker, n)
		for i := range trackers {
			trackers[i] = news.NewGenerationTracker()
			trackers[i].Merge(name(i), int64(i+1))
		}
		merge := func(at int, vms []news.Generation) {
			for _, g := range vms {
				trackers[at].Merge(g.Name, g.Generation)
			}
		}
		order := rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 50).Draw(t, "Order")
		for range 2 * n {
			for i := range n {
				order = append(order, i)
			}
		}
		for _, i := range order {
			changed := trackers[i].TakeChanged()
			merge((i+1)%n, changed)
			merge((i+n-1)%n, changed)
		}
		for i := range trackers {
			if changed := trackers[i].TakeChanged(); len(changed) > 0 {
				t.Fatalf("%s still has %v to forward", name(i), changed)
			}
			for j := range trackers {
				if got := trackers[i].Generation(name(j)); got != int64(j+1) {
					t.Fatalf("%s has generation %d for %s, want %d", name(i), got, name(j), j+1)
				}
			}
		}
	})
}
