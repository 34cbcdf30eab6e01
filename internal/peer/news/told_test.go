package news_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// Gateways that pass on what is fresh to their neighbors in a ring, in any order,
// all come to know the generation of every VM, and then fall silent.
func TestToldReachesEveryVM(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "VMs")
		name := func(i int) string { return fmt.Sprintf("gateway-%d", i) }
		told := make([]*news.Told, n)
		for i := range told {
			told[i] = news.NewTold()
			told[i].Learn(name(i), int64(i+1))
		}
		learn := func(at int, vms []news.Generation) {
			for _, g := range vms {
				told[at].Learn(g.Name, g.Generation)
			}
		}
		order := rapid.SliceOfN(rapid.IntRange(0, n-1), 0, 50).Draw(t, "Order")
		for range 2 * n {
			for i := range n {
				order = append(order, i)
			}
		}
		for _, i := range order {
			fresh := told[i].Fresh()
			learn((i+1)%n, fresh)
			learn((i+n-1)%n, fresh)
		}
		for i := range told {
			if fresh := told[i].Fresh(); len(fresh) > 0 {
				t.Fatalf("%s still has %v to pass on", name(i), fresh)
			}
			for j := range told {
				if got := told[i].Of(name(j)); got != int64(j+1) {
					t.Fatalf("%s knows generation %d of %s, want %d", name(i), got, name(j), j+1)
				}
			}
		}
	})
}
