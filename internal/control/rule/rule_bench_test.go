package rule_test

import (
	"fmt"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

var base2026 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func sizes(b *testing.B, run func(b *testing.B, n int)) {
	for _, n := range []int{300, 3000, 15000} {
		b.Run(fmt.Sprintf("Rules=%d", n), func(b *testing.B) { run(b, n) })
	}
}

// BenchmarkMatch measures the routing of one request to a rule with a pattern.
func BenchmarkMatch(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		table := rule.Compile(largeFile(n))
		i := n / 2 / 3 * 3
		r := httptest.NewRequest("GET", fmt.Sprintf("http://h/area-%d/item-%d/7", i/10, i), nil)
		b.ReportAllocs()
		for b.Loop() {
			if _, ok := table.Match(r); !ok {
				b.Fatal("no match")
			}
		}
	})
}

// BenchmarkMatchSharedPrefix measures the same where all paths share three segments.
func BenchmarkMatchSharedPrefix(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		lines := make([]string, 0, n)
		for i := range n {
			lines = append(lines, fmt.Sprintf("Path=/api/v1/shed/item-%d/{Id} Service=S # Tan: why", i))
		}
		table := rule.Compile(fileOf(1, lines...))
		r := httptest.NewRequest("GET", fmt.Sprintf("http://h/api/v1/shed/item-%d/7", n/2), nil)
		for b.Loop() {
			if _, ok := table.Match(r); !ok {
				b.Fatal("no match")
			}
		}
	})
}

// BenchmarkSpread measures a change of one rule: the difference, its encoding,
// its decoding and its application by a peer, with the new table.
func BenchmarkSpread(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		from := largeFile(n)
		to := oneChanged(from)
		table := rule.Compile(from)
		b.ReportAllocs()
		bytes := 0
		for b.Loop() {
			data, err := cbor.Marshal(rule.Diff(from, to))
			if err != nil {
				b.Fatal(err)
			}
			bytes = len(data)
			var change rule.Change
			if err := cbor.Unmarshal(data, &change); err != nil {
				b.Fatal(err)
			}
			next, result := change.Apply(from)
			if result != rule.Applied {
				b.Fatal(result)
			}
			table.Next(next)
		}
		b.ReportMetric(float64(bytes), "wire-bytes/op")
	})
}

// BenchmarkAccept measures one acceptance with its base two generations old.
func BenchmarkAccept(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		base := largeFile(n)
		accepted := rule.Accepted{File: oneChanged(base), Submission: 1}
		text := base.Format() + "Path=/new Service=S # Tan: why\n"
		b.ReportAllocs()
		for b.Loop() {
			s := rule.ParseSubmission(2, text).WithBase(base)
			d := rule.Accept(base2026, accepted, s)
			if !d.Changed || len(d.Next.Format()) == 0 {
				b.Fatal("not accepted")
			}
		}
	})
}

// BenchmarkCompile measures a whole compilation, and the memory that a rule holds
// in a parsed file and its table.
func BenchmarkCompile(b *testing.B) {
	sizes(b, func(b *testing.B, n int) {
		text := largeFile(n).Format()
		before := heap()
		file, _ := rule.Parse(text)
		table := rule.Compile(file)
		held := heap() - before
		b.ResetTimer()
		for b.Loop() {
			rule.Compile(file)
		}
		b.ReportMetric(float64(held)/float64(n), "held-bytes/rule")
		b.ReportMetric(float64(len(text))/float64(n), "text-bytes/rule")
		runtime.KeepAlive(table)
	})
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
