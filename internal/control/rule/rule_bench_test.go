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

var submissionTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func runSizes(b *testing.B, run func(b *testing.B, n int)) {
	for _, n := range []int{300, 3000, 15000} {
		b.Run(fmt.Sprintf("Rules=%d", n), func(b *testing.B) { run(b, n) })
	}
}

// BenchmarkMatch measures the matching of one request to a rule with a path parameter.
func BenchmarkMatch(b *testing.B) {
	runSizes(b, func(b *testing.B, n int) {
		table := rule.Compile(largeFile(n))
		i := n / 2 / 3 * 3
		r := httptest.NewRequest("GET", fmt.Sprintf("http://h/area-%d/item-%d/7", i/10, i), nil)
		b.ReportAllocs()
		for b.Loop() {
			if _, ok := table.Match(r); !ok {
				b.Fatal("no rule matches")
			}
		}
	})
}

// BenchmarkMatchSharedPrefix measures matching if all paths share a prefix of three
// segments.
func BenchmarkMatchSharedPrefix(b *testing.B) {
	runSizes(b, func(b *testing.B, n int) {
		lines := make([]string, 0, n)
		for i := range n {
			lines = append(lines, fmt.Sprintf("Path=/api/v1/shed/item-%d/{Id} Service=S # Tan: why", i))
		}
		table := rule.Compile(fileOf(1, lines...))
		r := httptest.NewRequest("GET", fmt.Sprintf("http://h/api/v1/shed/item-%d/7", n/2), nil)
		for b.Loop() {
			if _, ok := table.Match(r); !ok {
				b.Fatal("no rule matches")
			}
		}
	})
}

// BenchmarkPropagateChange measures the propagation of a change to one rule: computing
// and encoding the diff, and decoding it, applying it and building the new table on a
// peer.
func BenchmarkPropagateChange(b *testing.B) {
	runSizes(b, func(b *testing.B, n int) {
		from := largeFile(n)
		to := withOneChange(from)
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
			table.Recompile(next)
		}
		b.ReportMetric(float64(bytes), "wire-bytes/op")
	})
}

// BenchmarkAccept measures the processing of one submission that has to be merged,
// as its base is older than the accepted generation.
func BenchmarkAccept(b *testing.B) {
	runSizes(b, func(b *testing.B, n int) {
		base := largeFile(n)
		accepted := rule.Accepted{File: withOneChange(base), Submission: 1}
		text := base.Format() + "Path=/new Service=S # Tan: why\n"
		b.ReportAllocs()
		for b.Loop() {
			s := rule.ParseSubmission(2, text).WithBase(base)
			d := rule.Accept(submissionTime, accepted, s)
			if !d.Changed || len(d.Next.Format()) == 0 {
				b.Fatal("submission was not accepted")
			}
		}
	})
}

// BenchmarkCompile measures the compilation of a whole file, and the heap memory that
// each rule retains in the parsed file and its table.
func BenchmarkCompile(b *testing.B) {
	runSizes(b, func(b *testing.B, n int) {
		text := largeFile(n).Format()
		before := heapBytes()
		file, _ := rule.Parse(text)
		table := rule.Compile(file)
		retained := heapBytes() - before
		b.ResetTimer()
		for b.Loop() {
			rule.Compile(file)
		}
		b.ReportMetric(float64(retained)/float64(n), "held-bytes/rule")
		b.ReportMetric(float64(len(text))/float64(n), "text-bytes/rule")
		runtime.KeepAlive(table)
	})
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
