package booking_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/request/booking"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// model counts the attempts of a call independently of its implementation.
type model struct {
	begun, inFlight, maybeRun, notRun, resumed int
	ran, consumed                              bool
}

func TestCallInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		repeat := rapid.SampledFrom([]mustardsaddle.Repeat{mustardsaddle.RepeatNo, mustardsaddle.RepeatYes, mustardsaddle.RepeatClaim}).Draw(t, "Repeat")
		deadline := start.Add(time.Second)
		limit := rapid.IntRange(0, 5).Draw(t, "MaxAttempts")
		call := booking.New(booking.Config{Repeat: repeat, Deadline: deadline, MaxAttempts: limit})
		budgets := booking.Budgets{Retry: booking.NewBudget(0.1, 5), Hedge: booking.NewBudget(0.1, 5)}
		now := start
		var m model
		for range rapid.IntRange(1, 30).Draw(t, "Steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "Millis")) * time.Millisecond)
			runStep(t, &call, &budgets, now, deadline, &m)
			checkInvariants(t, &call, repeat, limit, m)
		}
	})
}

func runStep(t *rapid.T, call *booking.Call, b *booking.Budgets, now, deadline time.Time, m *model) {
	if m.inFlight > 0 && rapid.Bool().Draw(t, "End") {
		outcome := rapid.SampledFrom([]mustardsaddle.Outcome{mustardsaddle.Unknown, mustardsaddle.NotRun, mustardsaddle.Ran}).Draw(t, "Outcome")
		call.End(outcome)
		m.inFlight--
		if outcome == mustardsaddle.NotRun {
			m.maybeRun--
			m.notRun++
		}
		m.ran = m.ran || outcome == mustardsaddle.Ran
		return
	}
	if rapid.IntRange(0, 9).Draw(t, "Consume") == 0 {
		call.MarkBodyConsumed()
		m.consumed = true
	}
	if m.ran && rapid.Bool().Draw(t, "Resume") {
		if call.Resume(now, b) {
			m.resumed++
			if m.consumed {
				t.Fatal("got a resumed attempt after a part of the request body was consumed, want none")
			}
		}
		return
	}
	_, ok := call.Begin(now, b)
	if ok && (m.ran || !now.Before(deadline)) {
		t.Fatalf("attempt begun at %v: got ran %v and deadline %v, want no attempt after a run or the deadline", now, m.ran, deadline)
	}
	if ok {
		m.begun++
		m.inFlight++
		m.maybeRun++
	}
}

func checkInvariants(t *rapid.T, call *booking.Call, repeat mustardsaddle.Repeat, limit int, m model) {
	if repeat != mustardsaddle.RepeatYes && m.maybeRun > 1 {
		t.Fatalf("got %d attempts that may have run, want at most 1", m.maybeRun)
	}
	if sent := m.begun + m.resumed; sent > max(limit, 1) || sent != call.Sent() || m.inFlight > 2 {
		t.Fatalf("got %d attempts and %d resumed ones, Sent %d, %d in flight, want at most %d together and 2", m.begun, m.resumed, call.Sent(), m.inFlight, max(limit, 1))
	}
	if m.resumed > 0 && repeat != mustardsaddle.RepeatYes {
		t.Fatalf("got %d resumed attempts of a request that is not idempotent, want none", m.resumed)
	}
	if call.Outcome() == mustardsaddle.NotRun && m.notRun != m.begun {
		t.Fatalf("got outcome NotRun with %d of %d attempts not run", m.notRun, m.begun)
	}
}

func TestBudgetsAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 0.5).Draw(t, "Share")
		burst := rapid.Float64Range(0, 10).Draw(t, "Burst")
		budgets := booking.Budgets{Retry: booking.NewBudget(share, burst), Hedge: booking.NewBudget(share, burst)}
		calls, extra := 0, map[booking.Kind]int{}
		for range rapid.IntRange(1, 200).Draw(t, "Calls") {
			calls++
			call := booking.New(booking.Config{Repeat: mustardsaddle.RepeatYes, Deadline: start.Add(time.Hour), MaxAttempts: 9})
			_, _ = call.Begin(start, &budgets)
			for range rapid.IntRange(0, 4).Draw(t, "Extra") {
				if rapid.Bool().Draw(t, "Retry") {
					call.End(mustardsaddle.NotRun)
				}
				if kind, ok := call.Begin(start, &budgets); ok {
					extra[kind]++
				}
			}
		}
		allowed := burst + share*float64(calls) + 1e-6
		if float64(extra[booking.Retry]) > allowed || float64(extra[booking.Hedge]) > allowed {
			t.Fatalf("got %v extra attempts over %d calls, want at most %v of each kind", extra, calls, allowed)
		}
	})
}

func TestLatencyQuantile(t *testing.T) {
	convey.Convey("Given latencies of 1 to 100 ms", t, func() {
		l := booking.Latency{Quantile: 0.95}
		_, known := l.Value()
		convey.So(known, convey.ShouldBeFalse)
		for i := range 256 {
			l.Add(time.Duration(i%100+1) * time.Millisecond)
		}
		convey.Convey("The estimate is close to the quantile", func() {
			d, known := l.Value()
			convey.So(known, convey.ShouldBeTrue)
			convey.So(d, convey.ShouldBeBetween, 90*time.Millisecond, 100*time.Millisecond)
		})
	})
}
