package roster_test

import (
	"fmt"
	"runtime"
	"testing"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
)

// BenchmarkRosterMemory gives the memory that a roster holds for each server, in
// 280 services of 33.
func BenchmarkRosterMemory(b *testing.B) {
	const services, size = 280, 33
	held := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := held()
		r := roster.New(roster.Config{})
		for service := range services {
			page := make([]mustardsaddle.Machine, 0, size)
			for i := range size {
				m := server(size*service+i, 1)
				m.Service = fmt.Sprintf("Service-%d", service)
				page = append(page, m)
			}
			r = r.WithPage(start, page[0].Service, page)
		}
		b.ReportMetric(float64(held()-before)/(services*size), "held-bytes/server")
		runtime.KeepAlive(r)
	}
}
