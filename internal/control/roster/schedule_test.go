package roster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
)

// countReads simulates the schedules of all gateways and returns the number of reads
// by gateway and page.
func countReads(vms []mustardsaddle.VM, pages []string, span time.Duration) map[string]map[string]int {
	counts := make(map[string]map[string]int)
	for i, vm := range vms {
		counts[vm.Name] = make(map[string]int)
		rng := rand.New(rand.NewPCG(uint64(i), 1))
		s := roster.NewSchedule(roster.ScheduleConfig{Self: vm.Name, Poll: 2 * time.Second, FleetReads: 200})
		s.SetFleet(start, rng, vms, pages)
		for now := start; now.Before(start.Add(span)); {
			page, wait, ok := s.Next(now, rng)
			if !ok {
				now = now.Add(wait)
				continue
			}
			counts[vm.Name][page]++
		}
	}
	return counts
}

func TestEveryPageIsReadWithinTheFleetsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 7).Draw(t, "Zones")
		vms := make([]mustardsaddle.VM, rapid.IntRange(zones, 60).Draw(t, "VMs"))
		for i := range vms {
			vms[i] = mustardsaddle.VM{Name: fmt.Sprintf("gateway-%02d", i), Zone: fmt.Sprintf("zone-%d", i%zones)}
		}
		pages := []string{""}
		for i := range rapid.IntRange(0, 80).Draw(t, "Services") {
			pages = append(pages, fmt.Sprintf("Service-%d", i))
		}
		const span = time.Minute
		total := 0
		maxReads := make(map[string]int)
		for _, counts := range countReads(vms, pages, span) {
			for page, n := range counts {
				total += n
				maxReads[page] = max(maxReads[page], n)
			}
		}
		// Jitter adds at most one early read per page and gateway.
		if limit := int(200*span.Seconds()*1.1) + len(vms)*len(pages); total > limit {
			t.Fatalf("fleet made %d reads in %s, want at most %d", total, span, limit)
		}
		for _, page := range pages {
			if maxReads[page] < 10 {
				t.Fatalf("page %q was read %d times in %s by its most frequent reader, want at least 10", page, maxReads[page], span)
			}
		}
	})
}
