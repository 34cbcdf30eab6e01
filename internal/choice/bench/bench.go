// Package bench chooses the endpoint server for each attempt of one service.
//
// # Usage
//
//	b := bench.New(bench.Config{})
//	b.SetServers(now, servers)
//	choice, ok := b.Choose(now, rng, mustardsaddle.Need{Zone: "a"})
//	...
//	b.Finish(now, mustardsaddle.Result{Server: choice.Server.Name, Outcome: mustardsaddle.Ran})
package bench

import (
	"math/rand/v2"
	"slices"
	"time"

	"mustardsaddle.example/mustardsaddle"
)

// Config configures a Bench.
type Config struct{}

// Bench is the state of one service's servers as this gateway sees them.
type Bench struct {
	cfg     Config
	servers []*server
	byName  map[string]*server
}

type server struct {
	mustardsaddle.Server
	inFlight int
	report   mustardsaddle.Report
}

var _ mustardsaddle.Chooser = (*Bench)(nil)

// New returns a Bench without servers.
func New(cfg Config) *Bench {
	return &Bench{cfg: cfg, byName: make(map[string]*server)}
}

// SetServers replaces the set of known servers.
func (b *Bench) SetServers(_ time.Time, servers []mustardsaddle.Server) {
	byName := make(map[string]*server, len(servers))
	b.servers = b.servers[:0]
	for _, s := range servers {
		known := b.byName[s.Name]
		if known == nil {
			known = &server{}
		}
		known.Server = s
		byName[s.Name] = known
		b.servers = append(b.servers, known)
	}
	b.byName = byName
}

// Choose picks the less loaded of two random servers.
func (b *Bench) Choose(_ time.Time, rng *rand.Rand, need mustardsaddle.Need) (mustardsaddle.Choice, bool) {
	var open []*server
	for _, s := range b.servers {
		if s.Leaving || s.report.Draining || slices.Contains(need.Exclude, s.Name) {
			continue
		}
		open = append(open, s)
	}
	if len(open) == 0 {
		return mustardsaddle.Choice{}, false
	}
	best := open[rng.IntN(len(open))]
	if other := open[rng.IntN(len(open))]; other.inFlight < best.inFlight {
		best = other
	}
	best.inFlight++
	return mustardsaddle.Choice{Server: best.Server, Reason: "TwoChoices"}, true
}

// Finish tells how a chosen attempt ended.
func (b *Bench) Finish(_ time.Time, result mustardsaddle.Result) {
	if s := b.byName[result.Server]; s != nil {
		s.inFlight--
	}
}

// Observe takes a load report of a server.
func (b *Bench) Observe(_ time.Time, name string, report mustardsaddle.Report) {
	if s := b.byName[name]; s != nil {
		s.report = report
	}
}

// Probe picks the server with the oldest report.
func (b *Bench) Probe(_ time.Time, _ *rand.Rand) (mustardsaddle.Server, bool) {
	var oldest *server
	for _, s := range b.servers {
		if oldest == nil || s.report.At.Before(oldest.report.At) {
			oldest = s
		}
	}
	if oldest == nil {
		return mustardsaddle.Server{}, false
	}
	return oldest.Server, true
}
