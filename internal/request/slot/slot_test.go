package slot_test

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle/internal/request/slot"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestQueuedCallsExpireByDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := slot.New(slot.Config{MaxQueued: rapid.IntRange(0, 8).Draw(t, "MaxQueued")})
		now, id := start, uint64(0)
		deadlines := make(map[uint64]time.Time)
		for range rapid.IntRange(1, 60).Draw(t, "Steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "Millis")) * time.Millisecond)
			for _, expired := range q.RemoveExpired(now) {
				delete(deadlines, expired)
			}
			switch rapid.IntRange(0, 2).Draw(t, "Step") {
			case 0:
				id++
				deadline := now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "Deadline")) * time.Millisecond)
				if result := q.Join(now, slot.Entry{ID: id, Deadline: deadline}); result.Queued {
					deadlines[id] = deadline
					if result.ExpiresAt.After(deadline) {
						t.Fatalf("got a call queued until %v, want at most its deadline %v", result.ExpiresAt, deadline)
					}
				} else if result.RetryAfter < time.Second || result.RetryAfter > time.Minute {
					t.Fatalf("got Retry-After %v, want between 1s and 1m", result.RetryAfter)
				}
			case 1:
				q.RecordRelease(now, time.Duration(rapid.IntRange(1, 50).Draw(t, "Latency"))*time.Millisecond)
			case 2:
				if next, ok := q.Next(now); ok && q.Remove(next) {
					delete(deadlines, next)
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
				t.Fatalf("got %d attempts acquired, want at most %d, and InFlight %d, want the same number", open, limit, l.InFlight("booking-01"))
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
		q := slot.New(slot.Config{MaxQueued: 100})
		for id := range uint64(10) {
			convey.So(q.Join(start, slot.Entry{ID: id, Deadline: start.Add(time.Minute)}).Queued, convey.ShouldBeTrue)
		}
		q.RecordRelease(start, 50*time.Millisecond)
		q.RecordRelease(start.Add(100*time.Millisecond), 50*time.Millisecond)
		now := start.Add(100 * time.Millisecond)
		convey.Convey("A call with a deadline in 500 ms is refused immediately with a Retry-After delay", func() {
			result := q.Join(now, slot.Entry{ID: 99, Deadline: now.Add(500 * time.Millisecond)})
			convey.So(result.Queued, convey.ShouldBeFalse)
			convey.So(slot.Seconds(result.RetryAfter), convey.ShouldEqual, 2)
		})
		convey.Convey("A call with a deadline in 2 s is queued", func() {
			convey.So(q.Join(now, slot.Entry{ID: 99, Deadline: now.Add(2 * time.Second)}).Queued, convey.ShouldBeTrue)
		})
	})
}

func TestOrderUnderOverload(t *testing.T) {
	convey.Convey("Given a burst of calls, one of which can no longer meet its target", t, func() {
		q := slot.New(slot.Config{MaxQueued: 100})
		q.RecordRelease(start, 100*time.Millisecond)
		join := func(id uint64, target time.Duration, priority int) {
			result := q.Join(start, slot.Entry{ID: id, Deadline: start.Add(time.Second), Target: start.Add(target), Priority: priority})
			convey.So(result.Queued, convey.ShouldBeTrue)
		}
		join(1, 50*time.Millisecond, 0)
		join(2, 300*time.Millisecond, 2)
		join(3, 300*time.Millisecond, 1)
		join(4, 300*time.Millisecond, 1)
		convey.Convey("Calls that can meet their target are served first, by priority and then arrival, and late ones last", func() {
			var order []uint64
			for {
				id, ok := q.Next(start)
				if !ok {
					break
				}
				order = append(order, id)
				q.Remove(id)
			}
			convey.So(order, convey.ShouldResemble, []uint64{3, 4, 2, 1})
		})
		convey.Convey("A call expires once its maximum time in the queue is over", func() {
			result := q.Join(start, slot.Entry{ID: 5, Deadline: start.Add(time.Second), MaxWait: 100 * time.Millisecond})
			convey.So(result.ExpiresAt, convey.ShouldEqual, start.Add(100*time.Millisecond))
			convey.So(q.RemoveExpired(start.Add(100*time.Millisecond)), convey.ShouldResemble, []uint64{5})
		})
	})
}
