package claim_test

import (
	"context"
	"errors"
	"testing"

	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/base/code"
	"mustardsaddle.example/mustardsaddle/internal/request/claim"
)

// fault is a fault that the store injects into one call.
type fault int

const (
	none     fault = iota
	rejected       // fails without taking effect
	lost           // takes effect, but the response is lost
	delayed        // a write fails but takes effect before a later write; a read succeeds
)

// store is an object store with injected faults.
type store struct {
	mustardsaddle.Store
	objects map[string]mustardsaddle.Object
	next    func() fault
	pending []func()
}

func (s *store) applyPending() {
	for _, f := range s.pending {
		f()
	}
	s.pending = nil
}

func (s *store) Get(_ context.Context, key string) (mustardsaddle.Object, error) {
	if f := s.next(); f != none && f != delayed {
		return mustardsaddle.Object{}, code.Errorf(code.StoreUnavailable, "get %s: unavailable", key)
	}
	return s.objects[key], nil
}

func (s *store) Put(_ context.Context, key string, value []byte, version int64) (int64, error) {
	f := s.next()
	write := func() (int64, error) {
		if s.objects[key].Version != version {
			return 0, code.Errorf(code.StoreConflict, "put %s: got version %d", key, version)
		}
		s.objects[key] = mustardsaddle.Object{Key: key, Version: version + 1, Value: value}
		return version + 1, nil
	}
	if f != delayed {
		s.applyPending()
	}
	unavailable := code.Errorf(code.StoreUnavailable, "put %s: unavailable", key)
	switch f {
	case rejected:
		return 0, unavailable
	case lost:
		_, _ = write()
		return 0, unavailable
	case delayed:
		s.pending = append(s.pending, func() { _, _ = write() })
		return 0, unavailable
	default:
		return write()
	}
}

// TestClaimedRequestRunsAtMostOnce checks that a request retried through several
// gateways runs at most once, with arbitrary interleaving of the gateways' steps and with
// store calls that fail, lose their response or take effect late.
func TestClaimedRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SampledFrom([]fault{none, none, none, rejected, lost, delayed})
		s := &store{objects: make(map[string]mustardsaddle.Object)}
		s.next = func() fault { return faults.Draw(t, "Fault") }
		claims := claim.New(claim.Config{Store: s})
		holders := []string{"a", "b", "c", "d", "e"}
		ran := 0
		var open []mustardsaddle.Claim
		for len(holders) > 0 || len(open) > 0 {
			if len(open) > 0 && (len(holders) == 0 || rapid.Bool().Draw(t, "Send")) {
				i := rapid.IntRange(0, len(open)-1).Draw(t, "Which")
				c := open[i]
				open = append(open[:i], open[i+1:]...)
				outcome := rapid.SampledFrom([]mustardsaddle.Outcome{mustardsaddle.NotRun, mustardsaddle.Ran, mustardsaddle.Unknown}).Draw(t, "Outcome")
				if outcome != mustardsaddle.NotRun {
					ran++
				}
				_ = claims.RecordOutcome(context.Background(), c.WithOutcome(outcome, 200))
				continue
			}
			c, held, err := claims.Acquire(context.Background(), "Booking", "key", holders[0])
			holders = holders[1:]
			if err == nil && held {
				open = append(open, c)
			}
			if err == nil && !held && c.Outcome == mustardsaddle.Ran && ran == 0 {
				t.Fatalf("got a claim with outcome Ran, but no request ran")
			}
		}
		if ran > 1 {
			t.Fatalf("got %d runs, want at most 1", ran)
		}
	})
}

func TestTake(t *testing.T) {
	convey.Convey("Given a store", t, func() {
		faults := []fault{}
		s := &store{objects: make(map[string]mustardsaddle.Object)}
		s.next = func() fault {
			if len(faults) == 0 {
				return none
			}
			f := faults[0]
			faults = faults[1:]
			return f
		}
		claims := claim.New(claim.Config{Store: s})
		takeClaim := func(holder string) (mustardsaddle.Claim, bool, error) {
			return claims.Acquire(context.Background(), "Booking", "key", holder)
		}
		convey.Convey("If the response to the write is lost, the claim is read back", func() {
			faults = []fault{lost}
			_, held, err := takeClaim("a")
			convey.So([]any{held, err}, convey.ShouldResemble, []any{true, nil})
			_, held, err = takeClaim("b")
			convey.So([]any{held, err}, convey.ShouldResemble, []any{false, nil})
		})
		convey.Convey("If the store is unavailable, no call may send the request", func() {
			faults = []fault{rejected, rejected}
			_, held, err := takeClaim("a")
			convey.So(held, convey.ShouldBeFalse)
			convey.So(code.Of(err), convey.ShouldEqual, code.StoreUnavailable)
		})
		convey.Convey("A claim with outcome NotRun can be taken over, and one with outcome Ran cannot", func() {
			c, _, _ := takeClaim("a")
			convey.So(claims.RecordOutcome(context.Background(), c.WithOutcome(mustardsaddle.NotRun, 0)), convey.ShouldBeNil)
			c, held, _ := takeClaim("b")
			convey.So(held, convey.ShouldBeTrue)
			convey.So(claims.RecordOutcome(context.Background(), c.WithOutcome(mustardsaddle.Ran, 201)), convey.ShouldBeNil)
			c, held, _ = takeClaim("c")
			convey.So([]any{held, c.Outcome, c.Status, c.Holder}, convey.ShouldResemble, []any{false, mustardsaddle.Ran, 201, "b"})
		})
		convey.Convey("An object that is not a claim is an error", func() {
			s.objects[claim.Key("Booking", "key")] = mustardsaddle.Object{Version: 1, Value: []byte("not a claim")}
			_, held, err := takeClaim("a")
			convey.So(held, convey.ShouldBeFalse)
			convey.So(code.Of(err), convey.ShouldEqual, code.StoreBadObject)
			convey.So(errors.Unwrap(err), convey.ShouldNotBeNil)
		})
	})
}
