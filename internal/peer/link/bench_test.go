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

// star starts a hub and n other nodes, and returns a function that links them.
func star(b *testing.B, n int, timing link.Timing) (*node, []*node, func()) {
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
		wait(b, "the links", func() bool { return len(hub.links.Peers()) == n })
	}
}

func cpu(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memory() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// BenchmarkIdleLink gives what one end of an idle link costs at the default
// heartbeat: processor time, bytes sent and memory. Both ends run here; nodes
// without links are subtracted.
func BenchmarkIdleLink(b *testing.B) {
	const (
		links = 100
		span  = 10 * time.Second
	)
	for b.Loop() {
		hub, _, connect := star(b, links, link.Timing{})
		empty := memory()
		began := cpu(b)
		time.Sleep(span)
		unlinked := cpu(b) - began
		connect()
		time.Sleep(span)
		before, began := hub.links.Stats(), cpu(b)
		time.Sleep(span)
		used := cpu(b) - began - unlinked
		after := hub.links.Stats()
		ends := 2 * links * span.Seconds()
		b.ReportMetric(float64(used.Microseconds())/ends, "cpu-us/end/s")
		b.ReportMetric(float64(after.SentBytes-before.SentBytes)/links/span.Seconds(), "bytes/end/s")
		b.ReportMetric(float64(memory()-empty)/(2*links), "memory-bytes/end")
	}
}

// BenchmarkChange gives what one rule change, or one mark, costs on one link.
func BenchmarkChange(b *testing.B) {
	const links = 7
	line := "Path=/rosters Service=Booking Deadline=2s # Mei Lin: members browse rosters"
	for _, msg := range []news.Message{
		news.RuleChange{From: 41_000, To: 41_001, Out: []news.RuleEdit{{At: 3, Text: line}}, In: []news.RuleEdit{{At: 3, Text: line}}, Digest: 1 << 60},
		news.Marks{Marks: []mustardsaddle.Mark{{Name: "booking-07", Incarnation: 1_800_000_000, Leaving: true}}},
	} {
		b.Run(strings.TrimPrefix(msg.Type().String(), "Type"), func(b *testing.B) {
			hub, leaves, connect := star(b, links, link.Timing{Heartbeat: time.Minute})
			connect()
			var got atomic.Int64
			for _, leaf := range leaves {
				leaf.mu.Lock()
				leaf.onMessage = func(m news.Message) {
					if m.Type() == msg.Type() {
						got.Add(1)
					}
				}
				leaf.mu.Unlock()
			}
			before, began, n := hub.links.Stats(), cpu(b), int64(0)
			for b.Loop() {
				n++
				hub.links.Broadcast(msg)
				for got.Load() < n*links {
					time.Sleep(50 * time.Microsecond)
				}
			}
			after := hub.links.Stats()
			b.ReportMetric(float64(after.SentBytes-before.SentBytes)/float64(n*links), "bytes/link")
			b.ReportMetric(float64((cpu(b)-began).Microseconds())/float64(n*links), "cpu-us/link")
		})
	}
}
