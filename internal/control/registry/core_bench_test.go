package registry_test

import (
	"fmt"
	"runtime"
	"testing"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/control/registry"
	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// BenchmarkTakeAccepted measures what a watching gateway spends on one change of
// a rule, and the memory that it holds for its rules after many of them, without
// the compiled table.
func BenchmarkTakeAccepted(b *testing.B) {
	for _, n := range []int{300, 3000, 15000} {
		b.Run(fmt.Sprintf("Rules=%d", n), func(b *testing.B) {
			lines := make([]string, 0, n)
			for i := range n {
				lines = append(lines, fmt.Sprintf("Path=/area-%d/item-%d Service=S%d # Tan: why", i/10, i, i%280))
			}
			before := heap()
			c := registry.NewCore()
			version := int64(0)
			for b.Loop() {
				version++
				b.StopTimer()
				lines[version%int64(n)] += "!"
				value := []byte(rule.Accepted{File: fileOf(version, lines...), Submission: version}.Format())
				b.StartTimer()
				if _, brought, err := c.TakeAccepted(mustardsaddle.Object{Version: version, Value: value}); !brought {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(heap()-before)/float64(n), "held-bytes/rule")
			runtime.KeepAlive(lines)
			runtime.KeepAlive(c)
		})
	}
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
