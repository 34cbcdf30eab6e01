package rule_test

import (
	"fmt"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"

	"mustardsaddle.example/mustardsaddle/internal/control/rule"
)

// versionLines returns the lines of n routes of a directory, with added ones between them.
func versionLines(n, added int) []string {
	line := func(i int) string {
		return fmt.Sprintf("Host=h%d.example Path=/item%d/* Service=booking-%d:90,booking-%d:10 Deadline=1.5s Repeat=Yes Attempts=3 Target=300ms Priority=2 # Tan: route %d",
			i%17, i, i%30, i%30+1, i)
	}
	lines := make([]string, 0, n+added)
	for i := range max(n, added) {
		if i < n {
			lines = append(lines, line(i))
		}
		if i < added {
			lines = append(lines, line(1_000_000+i))
		}
	}
	return lines
}

func directoryFile(b *testing.B, generation int64, text string) rule.File {
	b.Helper()
	file, problems, _ := rule.ParseDirectory(text)
	if len(problems) > 0 {
		b.Fatal(problems)
	}
	return file.WithGeneration(generation)
}

// BenchmarkVersionStage measures the stages of putting a version in force that adds 1,400 routes of a
// directory, or that changes one, on one processor and with the garbage collector of small VMs.
func BenchmarkVersionStage(b *testing.B) {
	const smallGCPercent, large = 25, 1400
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	defer debug.SetGCPercent(debug.SetGCPercent(smallGCPercent))
	for _, n := range []int{200, 1400, 2800, 5600} {
		before := versionLines(n, 0)
		weights := strings.Replace(strings.Join(before, "\n"), "90,", "80,", 1)
		for name, text := range map[string]string{"Added=1400": strings.Join(versionLines(n, large), "\n"), "Weights=1": weights} {
			from, to := directoryFile(b, 1, strings.Join(before, "\n")), directoryFile(b, 2, text)
			change, table := rule.Diff(from, to), rule.Compile(from)
			next, _ := change.Apply(from)
			for _, stage := range []struct {
				name string
				run  func()
			}{
				{"Parse", func() { rule.ParseDirectory(text) }},
				{"Diff", func() { rule.Diff(from, to) }},
				{"Digest", func() { to.Digest() }},
				{"Apply", func() { change.Apply(from) }},
				{"Recompile", func() { table.Recompile(next) }},
			} {
				b.Run(fmt.Sprintf("%s/%s/Routes=%d", name, stage.name, n), func(b *testing.B) {
					b.ReportAllocs()
					for b.Loop() {
						stage.run()
					}
				})
			}
		}
	}
}
