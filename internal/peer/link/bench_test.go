package link_test

import (
	"fmt"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/peer/link"
	"mustardsaddle.example/mustardsaddle/internal/peer/news"
)

// startStar starts a hub and n leaves, and returns them with a function that links
// the hub to each leaf.
func startStar(b *testing.B, n int, timing link.Timing) (*node, []*node, func()) {
	hub := newNode(b, "gateway-a", "1", timing)
	var leaves []*node
	var vms []mustardsaddle.VM
	for i := range n {
		leaf := newNode(b, fmt.Sprintf("leaf-%03d", i), "1", timing)
		leaves = append(leaves, leaf)
		vms = append(vms, leaf.vm)
	}
	return hub, leaves, func() {
		hub.links.SetNeighbors(vms)
		waitFor(b, "all links to come up", func() bool { return len(hub.links.Peers()) == n })
	}
}

func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkIdleLink measures the cost of one end of an idle link at the default
// heartbeat: processor time, bytes sent and memory. Both ends run in this process;
// the cost of the nodes without links is subtracted.
func BenchmarkIdleLink(b *testing.B) {
	const (
		links    = 100
		interval = 10 * time.Second
	)
	for b.Loop() {
		hub, _, connect := startStar(b, links, link.Timing{})
		memoryWithoutLinks := memoryInUse()
		cpuBefore := cpuTime(b)
		time.Sleep(interval)
		cpuWithoutLinks := cpuTime(b) - cpuBefore
		connect()
		time.Sleep(interval)
		before, cpuBefore := hub.links.Stats(), cpuTime(b)
		time.Sleep(interval)
		cpuUsed := cpuTime(b) - cpuBefore - cpuWithoutLinks
		after := hub.links.Stats()
		endSeconds := 2 * links * interval.Seconds()
		b.ReportMetric(float64(cpuUsed.Microseconds())/endSeconds, "cpu-us/end/s")
		b.ReportMetric(float64(after.SentBytes-before.SentBytes)/links/interval.Seconds(), "bytes/end/s")
		b.ReportMetric(float64(memoryInUse()-memoryWithoutLinks)/(2*links), "memory-bytes/end")
	}
}

// BenchmarkChange measures the bytes and processor time of one rule change, or one
// mark, on one link.
func BenchmarkChange(b *testing.B) {
	const links = 7
	line := "Path=/rosters Service=Booking Deadline=2s # Mei Lin: members browse rosters"
	for _, msg := range []news.Message{
		news.RuleChange{From: 41_000, To: 41_001, Out: []news.RuleEdit{{At: 3, Text: line}}, In: []news.RuleEdit{{At: 3, Text: line}}, Digest: 1 << 60},
		news.Marks{Marks: []mustardsaddle.Mark{{Name: "booking-07", Incarnation: 1_800_000_000, Leaving: true}}},
	} {
		b.Run(strings.TrimPrefix(msg.Type().String(), "Type"), func(b *testing.B) {
			hub, leaves, connect := startStar(b, links, link.Timing{Heartbeat: time.Minute})
			connect()
			var received atomic.Int64
			for _, leaf := range leaves {
				leaf.mu.Lock()
				leaf.onMessage = func(m news.Message) {
					if m.Type() == msg.Type() {
						received.Add(1)
					}
				}
				leaf.mu.Unlock()
			}
			before, cpuBefore, n := hub.links.Stats(), cpuTime(b), int64(0)
			for b.Loop() {
				n++
				hub.links.Broadcast(msg)
				for received.Load() < n*links {
					time.Sleep(50 * time.Microsecond)
				}
			}
			after := hub.links.Stats()
			b.ReportMetric(float64(after.SentBytes-before.SentBytes)/float64(n*links), "bytes/link")
			b.ReportMetric(float64((cpuTime(b)-cpuBefore).Microseconds())/float64(n*links), "cpu-us/link")
		})
	}
}
