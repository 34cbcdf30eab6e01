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

// fault says how the store treats one call.
type fault int

const (
	none    fault = iota
	refused       // no effect, error
	lost          // effect, error
	late          // error, and the effect comes with the next call
)

// store is a platform store with faults.
type store struct {
	mustardsaddle.Store
	objects map[string]mustardsaddle.Object
	next    func() fault
	pending []func()
}

func (s *store) settle() {
	for _, f := range s.pending {
		f()
	}
	s.pending = nil
}

func (s *store) Get(_ context.Context, key string) (mustardsaddle.Object, error) {
	if f := s.next(); f != none && f != late {
		return mustardsaddle.Object{}, code.Errorf(code.StoreUnavailable, "get %s: down", key)
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
	if f != late {
		s.settle()
	}
	down := code.Errorf(code.StoreUnavailable, "put %s: down", key)
	switch f {
	case refused:
		return 0, down
	case lost:
		_, _ = write()
		return 0, down
	case late:
		s.pending = append(s.pending, func() { _, _ = write() })
		return 0, down
	default:
		return write()
	}
}

// TestClaimedRequestRunsAtMostOnce lets retries of one request come to several
// gateways, whose steps interleave and pause at will, over a faulty store.
func TestClaimedRequestRunsAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SampledFrom([]fault{none, none, none, refused, lost, late})
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
				_ = claims.Settle(context.Background(), c.WithOutcome(outcome, 200))
				continue
			}
			c, held, err := claims.Take(context.Background(), "Booking", "key", holders[0])
			holders = holders[1:]
			if err == nil && held {
				open = append(open, c)
			}
			if err == nil && !held && c.Outcome == mustardsaddle.Ran && ran == 0 {
				t.Fatalf("claim says Ran, nothing ran")
			}
		}
		if ran > 1 {
			t.Fatalf("got %d runs, want at most 1", ran)
		}
	})
}

func TestTake(t *testing.T) {
	convey.Convey("Given a store", t, func() {
		script := []fault{}
		s := &store{objects: make(map[string]mustardsaddle.Object)}
		s.next = func() fault {
			if len(script) == 0 {
				return none
			}
			f := script[0]
			script = script[1:]
			return f
		}
		claims := claim.New(claim.Config{Store: s})
		take := func(holder string) (mustardsaddle.Claim, bool, error) {
			return claims.Take(context.Background(), "Booking", "key", holder)
		}
		convey.Convey("A lost answer of the write is resolved by reading it back", func() {
			script = []fault{lost}
			_, held, err := take("a")
			convey.So([]any{held, err}, convey.ShouldResemble, []any{true, nil})
			_, held, err = take("b")
			convey.So([]any{held, err}, convey.ShouldResemble, []any{false, nil})
		})
		convey.Convey("With the store down nobody may send", func() {
			script = []fault{refused, refused}
			_, held, err := take("a")
			convey.So(held, convey.ShouldBeFalse)
			convey.So(code.Of(err), convey.ShouldEqual, code.StoreUnavailable)
		})
		convey.Convey("A claim settled as NotRun may be taken again, one that ran may not", func() {
			c, _, _ := take("a")
			convey.So(claims.Settle(context.Background(), c.WithOutcome(mustardsaddle.NotRun, 0)), convey.ShouldBeNil)
			c, held, _ := take("b")
			convey.So(held, convey.ShouldBeTrue)
			convey.So(claims.Settle(context.Background(), c.WithOutcome(mustardsaddle.Ran, 201)), convey.ShouldBeNil)
			c, held, _ = take("c")
			convey.So([]any{held, c.Outcome, c.Status, c.Holder}, convey.ShouldResemble, []any{false, mustardsaddle.Ran, 201, "b"})
		})
		convey.Convey("An object that is not a claim is refused", func() {
			s.objects[claim.Key("Booking", "key")] = mustardsaddle.Object{Version: 1, Value: []byte("not ours")}
			_, held, err := take("a")
			convey.So(held, convey.ShouldBeFalse)
			convey.So(code.Of(err), convey.ShouldEqual, code.StoreBadObject)
			convey.So(errors.Unwrap(err), convey.ShouldNotBeNil)
		})
	})
}
