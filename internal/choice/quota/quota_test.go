package quota_test

import (
	"fmt"
	"testing"
	"time"

	"golang.org/x/time/rate"
	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/quota"
)

const (
	// notice is the time after forwarding a response with a limit from which the requests
	// of a gateway count.
	notice = 500 * time.Millisecond
	// stable is the time after the first statement of a limit from which it holds.
	stable = 3 * time.Second
	window = 4 * time.Second
	// tolerance and extraRequests bound the requests in a window: tolerance times those
	// that the limit allows, and extraRequests more.
	tolerance     = 1.5
	extraRequests = 5
)

// excess returns the largest number of requests in a window beyond those allowed, of
// gateways that had been told; negative if the limit was never exceeded. A limit that
// changes allows, in each window, what its highest value does.
func (f *fleet) excess() float64 {
	worst := -tolerance*window.Seconds() - extraRequests
	first := 0
	for last, a := range f.arrivals {
		for f.arrivals[first].at.Before(a.at.Add(-window)) {
			first++
		}
		limit, period := f.highestLimit(a.at)
		if period == 0 {
			continue
		}
		n := 0
		for _, counted := range f.arrivals[first : last+1] {
			if counted.told == period {
				n++
			}
		}
		worst = max(worst, float64(n)-tolerance*limit*window.Seconds()-extraRequests)
	}
	return worst
}

// highestLimit returns the highest limit in the window that ends at the given time, with
// notice before it, and the period of the limit. The period is 0 if no limit has been
// stated for stable.
func (f *fleet) highestLimit(end time.Time) (float64, int) {
	highest, period := 0.0, 0
	var since time.Time
	for i, c := range f.history {
		if c.at.After(end) {
			break
		}
		switch {
		case !c.stated.Limited:
			highest, period = 0, 0
			continue
		case period == 0:
			period, since = c.period, c.at
		}
		replaced := i+1 < len(f.history) && f.history[i+1].at.Before(end.Add(-window-notice))
		if !replaced {
			highest = max(highest, c.stated.PerSecond)
		}
	}
	if end.Sub(since) < stable {
		return 0, 0
	}
	return highest, period
}

func newQuotas() divider { return quota.New() }

// TestPropertyFleetKeepsLimit guards against a server getting more requests from all
// gateways together than it has stated, while its statements change, messages and
// responses are lost or overtake each other, and gateways restart.
func TestPropertyFleetKeepsLimit(t *testing.T) {
	for _, n := range []int{1, 2, 13, 101, 311} {
		t.Run(fmt.Sprintf("%d gateways", n), func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newFleet(n, rapid.Uint64().Draw(t, "Seed"), newQuotas)
				limit := rapid.SampledFrom([]float64{0, 0.3, 1, 1.3, 2, 6, 40})
				f.run(time.Second)
				f.state(mustardsaddle.Statement{}.WithLimit(limit.Draw(t, "First")))
				for range rapid.IntRange(1, 6).Draw(t, "Changes") {
					f.run(time.Duration(rapid.IntRange(100, 6000).Draw(t, "Pause")) * time.Millisecond)
					switch rapid.IntRange(0, 5).Draw(t, "Change") {
					case 0:
						f.state(mustardsaddle.Statement{})
					case 1, 2:
						f.state(mustardsaddle.Statement{}.WithLimit(limit.Draw(t, "Limit")))
					case 3:
						f.callsPerSecond = rapid.SampledFrom([]float64{0, usualCallsPerSecond, 5 * usualCallsPerSecond}).Draw(t, "Calls")
					default:
						f.restart()
					}
				}
				f.callsPerSecond = usualCallsPerSecond
				f.run(8 * time.Second)
				if excess := f.excess(); excess > 0 {
					t.Fatalf("got %g requests more in %s than the limit allows, want none; history %v", excess, window, f.history)
				}
			})
		})
	}
}

// equalShares gives each gateway the same part of a limit, with a bucket of one token.
type equalShares struct {
	gateways int
	limits   map[string]*rate.Limiter
	rates    map[string]float64
}

func newEqualShares() divider {
	return &equalShares{limits: make(map[string]*rate.Limiter), rates: make(map[string]float64)}
}

func (e *equalShares) SetFleet(now time.Time, _ string, gateways []mustardsaddle.VM) {
	e.gateways = len(gateways)
	for server, l := range e.limits {
		l.SetLimitAt(now, rate.Limit(e.rates[server]/float64(e.gateways)))
	}
}

func (e *equalShares) Set(now time.Time, server string, stated mustardsaddle.Statement) {
	if !stated.Limited {
		delete(e.limits, server)
		return
	}
	e.rates[server] = stated.PerSecond
	limit := rate.Limit(stated.PerSecond / float64(e.gateways))
	if l := e.limits[server]; l != nil {
		l.SetLimitAt(now, limit)
		return
	}
	e.limits[server] = rate.NewLimiter(limit, 1)
}

func (e *equalShares) Take(now time.Time, server string) bool {
	l := e.limits[server]
	return l == nil || l.AllowN(now, 1)
}

// ignoring ignores limits.
type ignoring struct{}

func newIgnoring() divider { return ignoring{} }

func (ignoring) SetFleet(time.Time, string, []mustardsaddle.VM) {}

func (ignoring) Set(time.Time, string, mustardsaddle.Statement) {}

func (ignoring) Take(time.Time, string) bool { return true }

// TestWaysOfDividingLimit compares ways of dividing a limit, and checks that the model
// finds those that exceed it: all gateways have calls at the same time, after some minutes
// without. With -v it prints the table in docs/DESIGN.md.
func TestWaysOfDividingLimit(t *testing.T) {
	ways := []struct {
		name       string
		newDivider func() divider
		exceeds    bool
	}{
		{"ignored", newIgnoring, true},
		{"equal shares", newEqualShares, true},
		{"a few holders", newQuotas, false},
	}
	const (
		limit   = 1.0
		allowed = tolerance*limit*4 + extraRequests
		usual   = 60 * time.Second
		pause   = 6 * time.Minute
		surge   = 10 * time.Second
	)
	for _, n := range []int{13, 101, 311} {
		for _, way := range ways {
			f := newFleet(n, 1, way.newDivider)
			f.run(time.Second)
			f.state(mustardsaddle.Statement{}.WithLimit(limit))
			f.run(usual)
			perSecond := f.meanRate(epoch.Add(time.Second+stable), f.now)
			f.callsPerSecond = 0
			f.run(pause)
			f.callsPerSecond = usualCallsPerSecond
			f.run(surge)
			excess := f.excess()
			t.Logf("%3d gateways, %s: %.2f requests a second in usual times, at most %g in %s, allowed %g", n, way.name, perSecond, excess+allowed, window, allowed)
			if (excess > 0) != way.exceeds {
				t.Errorf("%d gateways, %s: got excess %g, want above 0: %t", n, way.name, excess, way.exceeds)
			}
		}
	}
}

// meanRate returns the requests per second between two times.
func (f *fleet) meanRate(from, to time.Time) float64 {
	n := 0
	for _, a := range f.arrivals {
		if a.at.After(from) && !a.at.After(to) {
			n++
		}
	}
	return float64(n) / to.Sub(from).Seconds()
}
