package registry_test

import (
	"fmt"
	"runtime"
	"testing"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/registry"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// BenchmarkTakeAccepted measures the time that a watching gateway needs to process a
// change of one rule, and the memory that the Core retains per rule after many such
// changes, without the compiled table.
func BenchmarkTakeAccepted(b *testing.B) {
	for _, n := range []int{300, 3000, 15000} {
		b.Run(fmt.Sprintf("Rules=%d", n), func(b *testing.B) {
			lines := make([]string, 0, n)
			for i := range n {
				lines = append(lines, fmt.Sprintf("Path=/area-%d/item-%d Service=S%d # Tan: why", i/10, i, i%280))
			}
			before := heapBytes()
			c := registry.NewCore()
			version := int64(0)
			for b.Loop() {
				version++
				b.StopTimer()
				lines[version%int64(n)] += "!"
				value := []byte(rule.Accepted{File: fileOf(version, lines...), Submission: version}.Format())
				b.StartTimer()
				if _, changed, err := c.TakeAccepted(mustardsaddle.Object{Version: version, Value: value}); !changed {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(heapBytes()-before)/float64(n), "held-bytes/rule")
			runtime.KeepAlive(lines)
			runtime.KeepAlive(c)
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
