package roster_test

import (
	"fmt"
	"runtime"
	"testing"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/roster"
)

// BenchmarkRosterMemory reports the memory that a roster retains per server, with 280
// services of 33 servers.
func BenchmarkRosterMemory(b *testing.B) {
	const services, size = 280, 33
	heapBytes := func() uint64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for b.Loop() {
		before := heapBytes()
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
		b.ReportMetric(float64(heapBytes()-before)/(services*size), "held-bytes/server")
		runtime.KeepAlive(r)
	}
}
