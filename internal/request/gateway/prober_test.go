package gateway_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/report"
	"mustardsaddle.example/mustardsaddle/internal/request/admission"
	"mustardsaddle.example/mustardsaddle/internal/request/gateway"
)

// countedBudget is a probe budget that grants a fixed number of messages.
type countedBudget struct{ left atomic.Int64 }

func (b *countedBudget) Allow(_ time.Time, messages, _ int) bool {
	return b.left.Add(-int64(messages)) >= 0
}

func TestProberStaysInItsBudget(t *testing.T) {
	convey.Convey("Given a budget of five probes", t, func() {
		var probes atomic.Int64
		s := newCountingServer(t, func(w http.ResponseWriter, _ *http.Request) {
			probes.Add(1)
			w.Header().Set(report.Header, report.Format(1, 2, true))
		})
		reports := make(chan mustardsaddle.Report, 100)
		_, g := newGateway(t, gateway.Config{Admission: admission.Options{
			OnReport: func(_ time.Time, _, _ string, rep mustardsaddle.Report) { reports <- rep },
		}}, s.address())
		budget := &countedBudget{}
		budget.left.Store(5)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go admission.NewProber(admission.ProberConfig{Controllers: g.Controllers(), Budget: budget, Interval: time.Millisecond}).Run(ctx, done)
		convey.So((<-reports).Draining, convey.ShouldBeTrue)
		// Waits until the budget has refused three probes.
		for budget.left.Load() > -3 {
			time.Sleep(time.Millisecond)
		}
		cancel()
		<-done
		convey.So(probes.Load(), convey.ShouldBeLessThanOrEqualTo, 5)
	})
}

// TestProberSkipsSilentServer uses one server that never responds to a probe. The
// probe waiting for it must not delay the probes of the other server.
func TestProberSkipsSilentServer(t *testing.T) {
	s := newCountingServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(report.Header, report.Format(1, 2, false))
	})
	silent := newFaultProxy(t, s.address(), func(int) fault { return fault{upBytes: 1, freeze: true} })
	reports := make(chan string, 1000)
	onReport := func(_ time.Time, _, server string, _ mustardsaddle.Report) { reports <- server }
	_, g := newGateway(t, gateway.Config{Admission: admission.Options{OnReport: onReport}}, silent.Addr().String(), s.address())
	budget := &countedBudget{}
	budget.left.Store(100)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	cfg := admission.ProberConfig{Controllers: g.Controllers(), Budget: budget, Interval: time.Millisecond, Timeout: time.Minute}
	go admission.NewProber(cfg).Run(ctx, done)
	for range 5 {
		if server := <-reports; server != s.address() {
			t.Errorf("got a load report of %s, want one of %s", server, s.address())
		}
	}
	cancel()
	<-done
}
