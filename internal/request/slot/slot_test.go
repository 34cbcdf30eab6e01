package slot_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/request/slot"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestEveryWaiterIsAnsweredByItsDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := slot.New(slot.Config{MaxWaiting: rapid.IntRange(0, 8).Draw(t, "MaxWaiting")})
		now, id := start, uint64(0)
		deadlines := make(map[uint64]time.Time)
		for range rapid.IntRange(1, 60).Draw(t, "Steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "Millis")) * time.Millisecond)
			for _, expired := range q.Expired(now) {
				delete(deadlines, expired)
			}
			switch rapid.IntRange(0, 2).Draw(t, "Step") {
			case 0:
				id++
				deadline := now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "Deadline")) * time.Millisecond)
				if v := q.Join(now, slot.Ticket{ID: id, Deadline: deadline}); v.Waits {
					deadlines[id] = deadline
					if v.Until.After(deadline) {
						t.Fatalf("got a call queued until %v, want at most its deadline %v", v.Until, deadline)
					}
				} else if v.RetryAfter < time.Second || v.RetryAfter > time.Minute {
					t.Fatalf("got Retry-After %v, want between 1s and 1m", v.RetryAfter)
				}
			case 1:
				q.Released(now, time.Duration(rapid.IntRange(1, 50).Draw(t, "Latency"))*time.Millisecond)
			case 2:
				if first, ok := q.First(now); ok && q.Leave(first) {
					delete(deadlines, first)
				}
			}
			if q.Len() != len(deadlines) {
				t.Fatalf("got %d queued calls, want %d", q.Len(), len(deadlines))
			}
			for id, deadline := range deadlines {
				if !now.Before(deadline) {
					t.Fatalf("call %d is still queued at %v, after its deadline %v", id, now, deadline)
				}
			}
		}
	})
}

func TestAdmittedNeverExceedsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := slot.NewLimits()
		limit, open := rapid.IntRange(1, 5).Draw(t, "Cap"), 0
		for range rapid.IntRange(1, 60).Draw(t, "Steps") {
			if open > 0 && rapid.Bool().Draw(t, "Release") {
				l.Release("booking-01")
				open--
			} else if l.Acquire("booking-01", limit) {
				open++
			}
			if open > limit || l.InFlight("booking-01") != open {
				t.Fatalf("got %d attempts in flight, want at most %d and %d counted", open, limit, l.InFlight("booking-01"))
			}
		}
	})
}

func TestConnectionsLeaveRoomForReplacedVMs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := rapid.IntRange(1, 300).Draw(t, "Gateways")
		accepted := rapid.IntRange(2*gateways, 100000).Draw(t, "Accepted")
		n := slot.Connections(accepted, gateways)
		if n < 1 || n*(gateways+gateways/10) > accepted {
			t.Fatalf("got %d connections for each of %d gateways, but the server accepts %d", n, gateways, accepted)
		}
	})
}

func TestRefusalIsDecidedAtJoin(t *testing.T) {
	convey.Convey("Given a queue of 10 calls with a release every 100 ms", t, func() {
		q := slot.New(slot.Config{MaxWaiting: 100})
		for id := range uint64(10) {
			convey.So(q.Join(start, slot.Ticket{ID: id, Deadline: start.Add(time.Minute)}).Waits, convey.ShouldBeTrue)
		}
		q.Released(start, 50*time.Millisecond)
		q.Released(start.Add(100*time.Millisecond), 50*time.Millisecond)
		now := start.Add(100 * time.Millisecond)
		convey.Convey("A call with a deadline in 500 ms is refused immediately with a Retry-After delay", func() {
			v := q.Join(now, slot.Ticket{ID: 99, Deadline: now.Add(500 * time.Millisecond)})
			convey.So(v.Waits, convey.ShouldBeFalse)
			convey.So(slot.Seconds(v.RetryAfter), convey.ShouldEqual, 2)
		})
		convey.Convey("A call with a deadline in 2 s is queued", func() {
			convey.So(q.Join(now, slot.Ticket{ID: 99, Deadline: now.Add(2 * time.Second)}).Waits, convey.ShouldBeTrue)
		})
	})
}

func TestOrderUnderOverload(t *testing.T) {
	convey.Convey("Given a burst of calls, one of which can no longer meet its target", t, func() {
		q := slot.New(slot.Config{MaxWaiting: 100})
		q.Released(start, 100*time.Millisecond)
		join := func(id uint64, target time.Duration, priority int) {
			v := q.Join(start, slot.Ticket{ID: id, Deadline: start.Add(time.Second), Target: start.Add(target), Priority: priority})
			convey.So(v.Waits, convey.ShouldBeTrue)
		}
		join(1, 50*time.Millisecond, 0)
		join(2, 300*time.Millisecond, 2)
		join(3, 300*time.Millisecond, 1)
		join(4, 300*time.Millisecond, 1)
		convey.Convey("Calls that can meet their target are served first, by priority and then arrival, and late ones last", func() {
			var order []uint64
			for {
				id, ok := q.First(start)
				if !ok {
					break
				}
				order = append(order, id)
				q.Leave(id)
			}
			convey.So(order, convey.ShouldResemble, []uint64{3, 4, 2, 1})
		})
		convey.Convey("A call expires once its maximum time in the queue is over", func() {
			v := q.Join(start, slot.Ticket{ID: 5, Deadline: start.Add(time.Second), Patience: 100 * time.Millisecond})
			convey.So(v.Until, convey.ShouldEqual, start.Add(100*time.Millisecond))
			convey.So(q.Expired(start.Add(100*time.Millisecond)), convey.ShouldResemble, []uint64{5})
		})
	})
}
