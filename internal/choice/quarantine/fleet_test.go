package quarantine_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"mustardsaddle.example/mustardsaddle"
	"mustardsaddle.example/mustardsaddle/internal/choice/quarantine"
)

const (
	// maxEnded is the number of servers that one request may end before the retests.
	maxEnded = 4
	// lateNotice and maxLate bound the requests that reach servers after the third has
	// ended.
	lateNotice = 3 * time.Second
	maxLate    = 3
	// modelTime is the time for which a fleet is observed.
	modelTime = 20 * time.Second
)

func sortedKeys(m map[int]*modelRun) []int { return slices.Sorted(maps.Keys(m)) }

// fatalRequests starts n requests that end servers. Each is repeated at random gateways by a
// first caller, and a moment later by others, too.
func (m *model) fatalRequests(n, callers int) {
	for i := range n {
		digest := modelDigest(i)
		m.fatal[digest] = true
		var repeat func()
		repeat = func() {
			m.call(m.rng.IntN(len(m.gateways)), digest)
			m.after(m.between(150*time.Millisecond, 500*time.Millisecond), repeat)
		}
		start := m.between(0, 5*time.Second)
		m.after(start, repeat)
		for range callers - 1 {
			m.after(start+m.between(150*time.Millisecond, time.Second), repeat)
		}
	}
}

// Numbers of the digests of requests that do not end servers.
const (
	firstPopular = 1000
	firstUnique  = 1_000_000
)

// otherRequests starts a request that is repeated perSecond times a second, and as many
// different ones.
func (m *model) otherRequests(perSecond int) {
	interval := time.Second / time.Duration(perSecond)
	unique := firstUnique
	var repeat func()
	repeat = func() {
		m.call(m.rng.IntN(len(m.gateways)), modelDigest(firstPopular))
		unique++
		m.call(m.rng.IntN(len(m.gateways)), modelDigest(unique))
		m.after(interval, repeat)
	}
	m.after(0, repeat)
}

// crashes ends a share of the servers without cause within a second, at random times.
func (m *model) crashes(times int, portion float64) {
	for range times {
		start := m.between(2*time.Second, modelTime)
		for _, s := range m.servers {
			if m.rng.Float64() < portion {
				m.after(start+m.between(0, time.Second), func() { m.crash(s) })
			}
		}
	}
}

// randomRestarts makes gateways forget everything at random times.
func (m *model) randomRestarts() {
	for range m.cfg.restarts {
		gateway := m.rng.IntN(len(m.gateways))
		m.after(m.between(0, modelTime), func() { m.restart(gateway) })
	}
}

// violations returns which bounds the requests that end servers have broken.
func (m *model) violations() []string {
	var found []string
	for digest := range m.fatal {
		early := 0
		for _, at := range m.ended[digest] {
			if len(m.ended[digest]) < 3 || at.Before(m.ended[digest][2].Add(lateNotice)) {
				early++
			}
		}
		if early > maxEnded {
			found = append(found, fmt.Sprintf("request %s: got %d servers that ended, want at most %d", digest, early, maxEnded))
		}
		if n := m.late(digest, lateNotice); n > maxLate {
			found = append(found, fmt.Sprintf("request %s: got %d that reached servers late, want at most %d", digest, n, maxLate))
		}
	}
	return found
}

// TestPropertyFleetBoundsServersEnded guards against a request ending more servers in the
// whole fleet than its bound, whatever messages are lost, gateways restarted, and servers
// ended without cause.
func TestPropertyFleetBoundsServersEnded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		gateways := rapid.SampledFrom([]int{13, 101, 311}).Draw(rt, "gateways")
		cfg := modelConfig{
			gateways: gateways, servers: 2 * gateways, loss: rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(rt, "loss"),
			restarts: rapid.IntRange(0, 3).Draw(rt, "restarts"),
		}
		m := newModel(cfg, rapid.Uint64().Draw(rt, "seed"))
		m.fatalRequests(rapid.IntRange(1, 3).Draw(rt, "requests"), rapid.IntRange(1, 10).Draw(rt, "callers"))
		m.otherRequests(20)
		m.crashes(rapid.IntRange(0, 2).Draw(rt, "crashes"), 0.15)
		m.randomRestarts()
		m.runUntil(modelTime)
		for _, v := range m.violations() {
			rt.Error(v)
		}
	})
}

// TestModelFindsBrokenRules checks that the model shows a violation if gateways tell each
// other nothing, or send suspect requests like any others.
func TestModelFindsBrokenRules(t *testing.T) {
	tests := []struct {
		name string
		cfg  modelConfig
	}{
		{"without messages", modelConfig{withoutMessages: true}},
		{"without isolation", modelConfig{withoutIsolation: true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.cfg.gateways, tt.cfg.servers = 101, 202
			found := 0
			for seed := range uint64(20) {
				m := newModel(tt.cfg, seed)
				m.fatalRequests(1, 10)
				m.otherRequests(20)
				m.runUntil(modelTime)
				found += len(m.violations())
			}
			if found == 0 {
				t.Error("got no violation, want some")
			}
		})
	}
}

// TestWaysOfBoundingCrashes prints how many servers one request of ten callers ends in each
// way of bounding that.
func TestWaysOfBoundingCrashes(t *testing.T) {
	const seeds = 10
	ways := []struct {
		name string
		cfg  modelConfig
	}{
		{"nothing", modelConfig{withoutQuarantine: true}},
		{"each gateway by itself", modelConfig{withoutMessages: true}},
		{"shared, without isolation", modelConfig{withoutIsolation: true}},
		{"shared, isolated", modelConfig{}},
	}
	for _, way := range ways {
		for _, gateways := range []int{13, 101, 311} {
			total, most := 0, 0
			for seed := range uint64(seeds) {
				cfg := way.cfg
				cfg.gateways, cfg.servers, cfg.loss = gateways, 2*gateways, 0.05
				m := newModel(cfg, seed)
				m.fatalRequests(1, 10)
				m.runUntil(10 * time.Second)
				n := len(m.ended[modelDigest(0)])
				total, most = total+n, max(most, n)
			}
			t.Logf("%s, %d gateways: %.1f servers ended, at most %d", way.name, gateways, float64(total)/seeds, most)
			if way.cfg == (modelConfig{}) && most > maxEnded {
				t.Errorf("%d gateways: got %d servers that ended, want at most %d", gateways, most, maxEnded)
			}
		}
	}
}

// TestOtherRequestsStayFree guards against requests that only happen to be in progress when
// servers end being quarantined.
func TestOtherRequestsStayFree(t *testing.T) {
	for _, portion := range []float64{0.15, 0.5} {
		for _, gateways := range []int{13, 101, 311} {
			t.Run(fmt.Sprintf("%.2f of the servers, %d gateways", portion, gateways), func(t *testing.T) {
				calls, refused, quarantined := 0, 0, 0
				for seed := range uint64(4) {
					m := newModel(modelConfig{gateways: gateways, servers: 2 * gateways, loss: 0.05}, seed)
					m.otherRequests(200)
					m.crashes(4, portion)
					m.runUntil(modelTime)
					for digest, n := range m.calls {
						calls += n
						refused += m.refused[digest]
						for _, g := range m.gateways {
							if g.table.Decide(m.now, digest).State == quarantine.Quarantined {
								quarantined++
							}
						}
					}
				}
				t.Logf("%d calls, %d refused", calls, refused)
				if quarantined > 0 {
					t.Errorf("got %d quarantines of requests that end no server, want none", quarantined)
				}
				if float64(refused) > 0.001*float64(calls) {
					t.Errorf("got %d of %d calls refused, want at most one in 1000", refused, calls)
				}
			})
		}
	}
}

// TestPopularRequestNeedsCompletions checks that completed runs are what keeps a popular
// request free.
func TestPopularRequestNeedsCompletions(t *testing.T) {
	m := newModel(modelConfig{gateways: 13, servers: 26, withoutCompletions: true}, 1)
	m.otherRequests(200)
	m.crashes(4, 0.5)
	m.runUntil(modelTime)
	if n := m.refused[modelDigest(firstPopular)]; n == 0 {
		t.Error("got no refused call although completed runs were not recorded, want some")
	}
}

// TestPropertyMergeInAnyOrder guards against gateways that have received the same
// suspicions in different orders knowing different things.
func TestPropertyMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		suspicion := rapid.Custom(func(rt *rapid.T) mustardsaddle.RequestSuspicion {
			s := mustardsaddle.RequestSuspicion{Digest: modelDigest(rapid.IntRange(0, 2).Draw(rt, "request")), Epoch: rapid.Int64Range(0, 2).Draw(rt, "epoch")}
			for _, n := range rapid.SliceOfN(rapid.IntRange(0, 5), 0, 4).Draw(rt, "instances") {
				s, _ = s.WithCrash(mustardsaddle.Instance{Name: fmt.Sprint(n), Incarnation: 1})
			}
			return s
		})
		received := rapid.SliceOfN(suspicion, 1, 12).Draw(rt, "received")
		shuffled := rapid.Permutation(received).Draw(rt, "shuffled")
		now := time.Unix(1000, 0)
		a, b := quarantine.New(quarantine.Config{}), quarantine.New(quarantine.Config{})
		a.Merge(now, received)
		for _, s := range append(shuffled, shuffled...) {
			b.Merge(now, []mustardsaddle.RequestSuspicion{s})
		}
		if a.Digest(now) != b.Digest(now) || a.Counts() != b.Counts() {
			rt.Errorf("got %+v, then %+v in another order", a.Suspicions(now), b.Suspicions(now))
		}
	})
}
