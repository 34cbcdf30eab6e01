package reach_test

import (
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle/internal/choice/reach"
)

// BenchmarkReply measures what each reply of a server costs while no service is lost.
func BenchmarkReply(b *testing.B) {
	d := reach.New()
	list := names(32)
	d.SetServers(list)
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		d.Reply(now, list[i%len(list)])
		d.Lost(now)
	}
}

// BenchmarkPick measures the choice of a gateway in a large fleet, half of which is cut off.
func BenchmarkPick(b *testing.B) {
	vms, rng, table := fleet(311), newRand(), reach.NewTable()
	table.SetFleet(vms)
	h := reach.NewHelpers(vms[0], table)
	h.SetFleet(vms)
	need := reach.Need{Service: "Booking", Zone: "zone-0"}
	for b.Loop() {
		vm, _ := h.Pick(start, rng, need)
		h.Finish(start, reach.Reply{Gateway: vm.Name, Service: need.Service})
	}
}
